import type { LogPosition } from '@auburngrade/coordination';

/** What an endpoint says of itself. `heldTerm` is the newest term that it was told to wait for. */
interface EndpointStatus {
  isPrimary: boolean;
  term: number;
  received: LogPosition;
  connections: number;
}

export default EndpointStatus;

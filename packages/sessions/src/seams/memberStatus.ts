import type { LogPosition } from '@auburngrade/coordination';

/** An endpoint's reported status. */
interface EndpointStatus {
  isPrimary: boolean;
  term: number;
  /** Last log position that it received. */
  receivedPosition: LogPosition;
  connections: number;
}

export default EndpointStatus;

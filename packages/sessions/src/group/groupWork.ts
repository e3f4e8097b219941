import type { WaitingWork } from '@auburngrade/coordination';
import type { GroupCall } from '../generated/auburngrade/session/v1/session';
import type CallOutcome from './callOutcome';

/** A statement at the owner of its group, from its arrival until its outcome. */
interface GroupWork extends WaitingWork {
  origin: string;
  call: GroupCall;
  values: ReadonlyMap<string, string>;
  /** Endpoints that could not serve it. */
  excluded: Set<string>;
  /** When it is refused if it still waits. */
  refusedAtMs: number;
  attempts: number;
  /** It was sent to an endpoint at least once. */
  hasRun: boolean;
  timer: NodeJS.Timeout | undefined;
  resolve(outcome: CallOutcome): void;
}

export default GroupWork;

import type { createAttemptPace, QueuedStatement } from '@auburngrade/coordination';
import type { GroupCall } from '../generated/auburngrade/session/v1/session';
import type CallOutcome from './callOutcome';

/** A statement at the VM that owns its group, from arrival until its outcome. */
interface PendingStatement extends QueuedStatement {
  /** `vm@incarnation` of the process that sent the call. */
  senderId: string;
  call: GroupCall;
  values: ReadonlyMap<string, string>;
  /** Endpoints that failed to run it. */
  excludedEndpointIds: Set<string>;
  /** Time at which it is refused when still queued. */
  queueDeadlineMs: number;
  attempts: number;
  /** Attempts of which an endpoint or its connection showed that the statement did not run. */
  notRunAttempts: number;
  /** Set with the first of them. */
  pace: ReturnType<typeof createAttemptPace> | undefined;
  /** Whether it was sent to an endpoint at least once. */
  hasBeenSent: boolean;
  /** Whether the transaction that it opens was ended meanwhile. */
  isTransactionEnded: boolean;
  queueTimer: NodeJS.Timeout | undefined;
  resolve(outcome: CallOutcome): void;
}

export default PendingStatement;

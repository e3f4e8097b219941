import type { LogPosition } from '@auburngrade/coordination';

/** Failures reported by an endpoint. All but `failed`, `timedOut`, `other` mean nothing ran. */
type MemberFailure =
  | 'busy'
  | 'noStatement'
  | 'lagging'
  | 'readOnly'
  | 'misrouted'
  | 'connectionLimit'
  | 'failed'
  | 'timedOut'
  | 'other';

/** An endpoint's complete reply to one command. */
interface MemberReply {
  rows: readonly string[];
  signature?: string;
  failure?: { kind: MemberFailure; message: string };
  /** Transaction state of the connection after the command. */
  state: 'idle' | 'open' | 'failed';
  position?: LogPosition;
}

export default MemberReply;

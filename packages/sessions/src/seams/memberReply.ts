import type { LogPosition } from '@auburngrade/coordination';

/** Failures that an endpoint reports. All but `failed`, `timedOut` and `other` mean that nothing ran. */
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

/** An endpoint's whole answer to one statement. */
interface MemberReply {
  rows: readonly string[];
  signature?: string;
  failure?: { kind: MemberFailure; message: string };
  state: 'idle' | 'open' | 'failed';
  position?: LogPosition;
}

export default MemberReply;

import type { LogPosition } from '@auburngrade/coordination';
import type MemberFailure from './memberFailure';

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

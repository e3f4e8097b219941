import type { LogPosition } from '@auburngrade/coordination';
import type MemberCommand from './memberCommand';
import type MemberReply from './memberReply';

/** An open connection to an endpoint, bound to one client account. Replies arrive in order. */
interface MemberConnection {
  /** Log position that the endpoint reported when the connection opened. */
  readonly initialPosition?: LogPosition;
  /** @throws MemberLinkError when the connection ends before the reply is complete. */
  send(command: MemberCommand): Promise<MemberReply>;
  close(): void;
  onEnd(listener: () => void): void;
}

export default MemberConnection;

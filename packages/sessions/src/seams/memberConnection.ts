import type { LogPosition } from '@auburngrade/coordination';
import type MemberCommand from './memberCommand';
import type MemberReply from './memberReply';

/** An open connection to an endpoint, bound to one client account. Replies come in order. */
interface MemberConnection {
  /** Position that the endpoint reported when the connection opened. */
  readonly openedAt?: LogPosition;
  /** @throws MemberLinkError when the connection ends before the whole reply. */
  send(command: MemberCommand): Promise<MemberReply>;
  close(): void;
  onEnd(listener: () => void): void;
}

export default MemberConnection;

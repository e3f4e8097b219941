import type GroupEndpoint from './groupEndpoint';
import type MemberConnection from './memberConnection';
import type MemberReply from './memberReply';
import type EndpointStatus from './memberStatus';

/** Opens connections to endpoints. */
abstract class MemberDialer {
  /** @throws MemberLinkError */
  abstract open(
    endpoint: GroupEndpoint,
    account: string,
    timeoutMs: number,
  ): Promise<MemberConnection>;

  /** Whether the endpoints' protocol can carry these names. */
  abstract canSend(group: string, account: string): boolean;

  /** Decodes a reply to the `status` command; returns undefined for any other reply. */
  abstract readStatus(reply: MemberReply): EndpointStatus | undefined;
}

export default MemberDialer;

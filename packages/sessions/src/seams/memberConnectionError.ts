import type MemberReply from './memberReply';

type MemberLinkErrorReason =
  'refused' | 'silent' | 'broken' | NonNullable<MemberReply['failure']>['kind'];

/** A connection to an endpoint could not be opened, or ended before a reply was complete. */
class MemberConnectionError extends Error {
  constructor(
    readonly reason: MemberLinkErrorReason,
    message: string,
  ) {
    super(message);
    this.name = 'MemberLinkError';
  }
}

export default MemberConnectionError;

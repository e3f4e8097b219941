import type MemberReply from './memberReply';

type Cause = 'refused' | 'silent' | 'broken' | NonNullable<MemberReply['failure']>['kind'];

/** A connection to an endpoint could not be opened, or ended before a reply was whole. */
class MemberLinkError extends Error {
  constructor(
    readonly reason: Cause,
    message: string,
  ) {
    super(message);
    this.name = 'MemberLinkError';
  }
}

export default MemberLinkError;

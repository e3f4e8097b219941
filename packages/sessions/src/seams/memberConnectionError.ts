import type MemberFailure from './memberFailure';

/** `unsendable`, `tooLarge`: the endpoint's protocol can't carry the message, and nothing of it was sent. */
type MemberLinkErrorReason =
  'refused' | 'silent' | 'broken' | 'unsendable' | 'tooLarge' | MemberFailure;

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

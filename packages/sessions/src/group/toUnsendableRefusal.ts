import type MemberConnectionError from '../seams/memberConnectionError';
import type CallOutcome from './callOutcome';
import createRefusal from './createRefusal';

/** Refuses a statement that the endpoints' protocol can't carry: nothing of it was sent. */
const toUnsendableRefusal = ({
  reason,
  message,
}: MemberConnectionError): CallOutcome | undefined => {
  if (reason === 'tooLarge') return createRefusal('tooLarge', message);
  return reason === 'unsendable' ? createRefusal('malformed', message) : undefined;
};

export default toUnsendableRefusal;

import type RequestRow from './requestRow';

/**
 * Result of a request lookup on the primary of the current term. The lookup tries to insert
 * a row that cancels the id: `cancelledNow` if the insert succeeded, `found` if a row existed.
 * `isHeld`: a majority of the members has acknowledged the log up to that row in this term.
 */
type RequestLookupResult =
  | { kind: 'cancelledNow'; isHeld: boolean }
  | { kind: 'found'; record: RequestRow; isHeld: boolean }
  | { kind: 'unreachable' };

export default RequestLookupResult;

import type RequestRecord from './requestRecord';

/**
 * What a lookup found on the primary of the current term. It tries to insert a row
 * that cancels the id: `cancelledNow` when that succeeded, `found` when there was a
 * row. `isHeld` says whether a majority holds the log up to there in this term.
 */
type RequestFinding =
  | { kind: 'cancelledNow'; isHeld: boolean }
  | { kind: 'found'; record: RequestRecord; isHeld: boolean }
  | { kind: 'unreachable' };

export default RequestFinding;

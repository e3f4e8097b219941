import type MemberStatus from '../acknowledgement/memberStatus';

/**
 * Input of a promotion. `written` reports that a claim or publication was stored; `lost`
 * that another term record replaced the expected one. If the outcome of a write is unknown,
 * the driver reads the record again before it reports either. `startPosition` is the end of
 * the log at the promotion, `markPosition` the position of the new term's first entry.
 */
type PromotionEvent =
  | { kind: 'start' }
  | { kind: 'written'; revision: number }
  | { kind: 'lost' }
  | { kind: 'status'; status: MemberStatus }
  | { kind: 'promoted'; member: string; startPosition: number; markPosition: number }
  | { kind: 'failed'; member: string }
  | { kind: 'tick' };

export default PromotionEvent;

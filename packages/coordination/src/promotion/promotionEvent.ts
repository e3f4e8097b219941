import type MemberStatus from '../acknowledgement/memberStatus';

/**
 * What a promotion is told. `written` answers a claim or a publication; `lost` says
 * that another record is in force; an unknown outcome is resolved by the driver,
 * which reads the record again.
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

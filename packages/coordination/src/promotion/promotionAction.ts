import type TermRecord from '../configuration/termRecord';

/** I/O that a promotion requests from its driver, which reports each result as a PromotionEvent. */
type PromotionAction =
  | { kind: 'claim'; record: TermRecord; expectedRevision: number }
  | { kind: 'publish'; record: TermRecord; expectedRevision: number }
  | { kind: 'fence'; member: string; term: number }
  | { kind: 'promote'; member: string; term: number }
  | { kind: 'follow'; member: string; term: number; upstream: string }
  | { kind: 'poll'; member: string };

export default PromotionAction;

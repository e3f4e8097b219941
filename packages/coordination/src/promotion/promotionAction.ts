import type TermRecord from '../configuration/termRecord';

/** What a promotion asks its driver to do; each is answered by a PromotionEvent. */
type PromotionAction =
  | { kind: 'claim'; record: TermRecord; expectedRevision: number }
  | { kind: 'publish'; record: TermRecord; expectedRevision: number }
  | { kind: 'fence'; member: string; term: number }
  | { kind: 'promote'; member: string; term: number }
  | { kind: 'follow'; member: string; term: number; upstream: string }
  | { kind: 'poll'; member: string };

export default PromotionAction;

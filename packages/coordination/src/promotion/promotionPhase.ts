/** Phases of one promotion, in order; `done` and `abandoned` are final. */
type PromotionPhase =
  'idle' | 'claiming' | 'fencing' | 'promoting' | 'spreading' | 'publishing' | 'done' | 'abandoned';

export default PromotionPhase;

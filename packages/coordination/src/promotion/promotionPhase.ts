/**
 * Phases of one promotion, in order; `done` and `abandoned` are final. `spreading` waits until
 * a majority of the new voters holds the new term's first entry.
 */
type PromotionPhase =
  'idle' | 'claiming' | 'fencing' | 'promoting' | 'spreading' | 'publishing' | 'done' | 'abandoned';

export default PromotionPhase;

import type createPromotion from './createPromotion';

/** State machine of one attempt to give a group a new primary. */
type Promotion = ReturnType<typeof createPromotion>;

export default Promotion;

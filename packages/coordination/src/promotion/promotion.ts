import type createPromotion from './createPromotion';

/** One attempt to give a group a new primary. */
type Promotion = ReturnType<typeof createPromotion>;

export default Promotion;

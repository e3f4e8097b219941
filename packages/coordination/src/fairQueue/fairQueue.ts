import type createFairQueue from './createFairQueue';

/** A queue that divides server time between client accounts by weight. */
type FairQueue<Item> = ReturnType<typeof createFairQueue<Item>>;

export default FairQueue;

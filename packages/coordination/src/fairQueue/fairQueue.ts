import type createFairQueue from './createFairQueue';

/** A queue that shares servers between client accounts by weight. */
type FairQueue<Item> = ReturnType<typeof createFairQueue<Item>>;

export default FairQueue;

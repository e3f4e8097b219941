import type createShareBucket from './createShareBucket';

/** The token bucket of one share of a rate. */
type ShareBucket = ReturnType<typeof createShareBucket>;

export default ShareBucket;

/**
 * Witnesses of a group of `size` that must answer a heartbeat to renew a lease. Any such set
 * intersects any `promiseQuorum`. In a group of two, one is enough, so that the other may fail.
 */
const renewalQuorum = (size: number): number => Math.ceil(size / 2);

export default renewalQuorum;

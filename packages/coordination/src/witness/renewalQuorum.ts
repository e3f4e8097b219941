/**
 * Witnesses of a group of `size` that must answer a heartbeat to renew a lease. Any such set
 * and any `promiseQuorum` share a witness; of two, one renews, so that one may be lost.
 */
const renewalQuorum = (size: number): number => Math.ceil(size / 2);

export default renewalQuorum;

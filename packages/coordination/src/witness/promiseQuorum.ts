/** Witnesses of a group of `size` that must promise before the group can renew a lease no more. */
const promiseQuorum = (size: number): number => Math.floor(size / 2) + 1;

export default promiseQuorum;

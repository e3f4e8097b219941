/** Witnesses of a group of `size` whose promises prevent the group from renewing a lease. */
const promiseQuorum = (size: number): number => Math.floor(size / 2) + 1;

export default promiseQuorum;

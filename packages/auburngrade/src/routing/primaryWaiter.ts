import type createPrimaryWaiter from './createPrimaryWaiter';

/** Delays or refuses requests while their group has no primary to use. */
type PrimaryWaiter = ReturnType<typeof createPrimaryWaiter>;

export default PrimaryWaiter;

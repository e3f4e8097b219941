import type createShareKeeper from './createShareKeeper';

/** The ledger of one account's shares. */
type ShareKeeper = ReturnType<typeof createShareKeeper>;

export default ShareKeeper;

import type createShareKeeper from './createShareKeeper';

/** The allocator of one account's quota units. */
type ShareKeeper = ReturnType<typeof createShareKeeper>;

export default ShareKeeper;

import type createShareHolder from './createShareHolder';

/** A VM's consumer of an account's quota units. */
type ShareHolder = ReturnType<typeof createShareHolder>;

export default ShareHolder;

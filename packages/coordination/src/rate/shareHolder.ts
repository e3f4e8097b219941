import type createShareHolder from './createShareHolder';

/** A VM's share of an account's rate. */
type ShareHolder = ReturnType<typeof createShareHolder>;

export default ShareHolder;

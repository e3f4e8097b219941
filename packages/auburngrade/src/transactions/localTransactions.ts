import type createLocalTransactions from './createLocalTransactions';

/** The interactive transactions that run on this VM's own connections. */
type LocalTransactions = ReturnType<typeof createLocalTransactions>;

export default LocalTransactions;

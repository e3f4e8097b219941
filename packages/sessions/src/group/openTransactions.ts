import type createOpenTransactions from './createOpenTransactions';

type OpenTransactions = ReturnType<typeof createOpenTransactions>;

export default OpenTransactions;

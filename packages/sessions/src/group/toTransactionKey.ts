/** Identifies a transaction among those of all VM processes that send statements. */
const toTransactionKey = (senderId: string, transactionId: number): string =>
  `${senderId}/${transactionId}`;

export default toTransactionKey;

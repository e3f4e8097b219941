interface ForwardInput {
  budgetBytes: number;
  usedBytes: number;
  /** Held by calls of other VMs, of the call's account and of all accounts that have any. */
  accountBytes: number;
  accountCount: number;
  callBytes: number;
}

/**
 * Decides whether a call of another VM may be held. While the budget has room, each may. Once it is used up, an account
 * gets no more than its equal part of the budget, so that only those with more are refused.
 */
const mayForward = ({
  budgetBytes,
  usedBytes,
  accountBytes,
  accountCount,
  callBytes,
}: ForwardInput): boolean =>
  usedBytes + callBytes <= budgetBytes ||
  accountBytes + callBytes <= budgetBytes / Math.max(1, accountCount + 1);

export default mayForward;

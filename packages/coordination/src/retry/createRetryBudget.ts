const RETRIES_PER_REQUEST = 0.2;
const MAX_TOKENS = 500;

/**
 * Bounds the retries of a VM to a share of its requests, so that retries can't multiply
 * the load of a group in trouble; an idle VM starts with a reserve.
 */
const createRetryBudget = () => {
  let tokens = MAX_TOKENS;
  return {
    /** Counts a new request. */
    deposit: (): void => {
      tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_REQUEST);
    },
    /** Takes one retry; false when the budget is used up. */
    withdraw: (): boolean => {
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
};

export default createRetryBudget;

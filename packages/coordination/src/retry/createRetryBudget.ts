const RETRIES_PER_REQUEST = 0.2;
const MAX_TOKENS = 500;

/**
 * Creates a VM's retry budget: a token bucket that limits retries to a fixed ratio of its
 * requests, so that retries do not multiply the load of a failing group. It starts full: an
 * idle VM has a reserve.
 */
const createRetryBudget = () => {
  let tokens = MAX_TOKENS;
  return {
    /** Credits a new request. */
    creditRequest: (): void => {
      tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_REQUEST);
    },
    /** Takes the token of one retry; returns false if none is left. */
    takeRetryToken: (): boolean => {
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
};

export default createRetryBudget;

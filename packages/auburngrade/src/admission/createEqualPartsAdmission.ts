import { createNotRunError, type ConfigurationState } from '@auburngrade/coordination';

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

const MS_PER_S = 1_000;

/** Creates the baseline rate limiter: each VM enforces `1/vmCount` of the rate, without messages. */
const createEqualPartsAdmission = (
  configuration: ConfigurationState,
  vmCount: () => number,
  nowMs: () => number,
) => {
  const buckets = new Map<string, Bucket>();
  return {
    /** Takes one token of the account. @throws RefusalError `unauthenticated` or `rateExceeded`. */
    admit: async (account: string | undefined, _profileName: string): Promise<void> => {
      if (account === undefined) return;
      const limit = configuration.get('account', account)?.limit;
      if (!limit)
        throw createNotRunError('unauthenticated', `client account ${account} does not exist`);
      const vmDivisor = Math.max(1, vmCount());
      const burst = Math.max(1, limit.burst / vmDivisor);
      const ratePerMs = limit.ratePerS / vmDivisor / MS_PER_S;
      const now = nowMs();
      const bucket = buckets.get(account) ?? { tokens: burst, filledAtMs: now };
      const tokens = Math.min(burst, bucket.tokens + (now - bucket.filledAtMs) * ratePerMs);
      const isAdmitted = tokens >= 1;
      buckets.set(account, { tokens: isAdmitted ? tokens - 1 : tokens, filledAtMs: now });
      if (!isAdmitted) {
        const retryAfterMs = Math.ceil((1 - tokens) / ratePerMs);
        throw createNotRunError(
          'rateExceeded',
          `account ${account} is over this VM's fraction of its rate`,
          retryAfterMs,
        );
      }
    },
  };
};

export default createEqualPartsAdmission;

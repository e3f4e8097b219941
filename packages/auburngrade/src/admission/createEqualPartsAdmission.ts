import { notRun, type ConfigurationState } from '@auburngrade/coordination';

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

const MS_PER_S = 1_000;

/** The baseline without shares: each VM alone gives out its equal part of the rate. */
const createEqualPartsAdmission = (
  configuration: ConfigurationState,
  vmCount: () => number,
  nowMs: () => number,
) => {
  const buckets = new Map<string, Bucket>();
  return {
    /** Takes one request of the account's rate. @throws RefusalError `rateExceeded`. */
    admit: async (account: string | undefined, _profileName: string): Promise<void> => {
      if (account === undefined) return;
      const limit = configuration.get('account', account)?.limit;
      if (!limit) throw notRun('unauthenticated', `no client account ${account}`);
      const parts = Math.max(1, vmCount());
      const burst = Math.max(1, limit.burst / parts);
      const ratePerMs = limit.ratePerS / parts / MS_PER_S;
      const now = nowMs();
      const bucket = buckets.get(account) ?? { tokens: burst, filledAtMs: now };
      const tokens = Math.min(burst, bucket.tokens + (now - bucket.filledAtMs) * ratePerMs);
      const isAdmitted = tokens >= 1;
      buckets.set(account, { tokens: isAdmitted ? tokens - 1 : tokens, filledAtMs: now });
      if (!isAdmitted) {
        const retryAfterMs = Math.ceil((1 - tokens) / ratePerMs);
        throw notRun('rateExceeded', `rate of account ${account} exceeded`, retryAfterMs);
      }
    },
  };
};

export default createEqualPartsAdmission;

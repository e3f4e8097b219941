interface VouchingFacts {
  nowMs: number;
  /** Time at which the platform confirmed the configuration. */
  confirmedAtMs: number;
  /** Time up to which no withdrawal can be missing because no VM reaches the platform. */
  outageAtMs: number;
}

/**
 * Whether keys may be accepted by the configuration as it stands: it was complete at a
 * time no further back than the bound. All times are of this process's monotonic clock.
 */
const isVouched = (facts: VouchingFacts, maxUnconfirmedMs: number): boolean => {
  const completeAtMs = Math.max(facts.confirmedAtMs, facts.outageAtMs);
  return facts.nowMs - completeAtMs <= maxUnconfirmedMs;
};

export default isVouched;

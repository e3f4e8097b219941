interface CompletenessTimes {
  nowMs: number;
  /** Time at which the platform confirmed that the configuration was complete. */
  confirmedAtMs: number;
  /** Time up to which no key withdrawal can be missing because no VM reached the platform. */
  outageAtMs: number;
}

/**
 * Whether this VM's configuration is recent enough to accept keys: it was known to contain every
 * key withdrawal at most `maxUnconfirmedMs` ago. Times are on this process's monotonic clock.
 */
const isKeyConfigurationFresh = (times: CompletenessTimes, maxUnconfirmedMs: number): boolean => {
  const completeAtMs = Math.max(times.confirmedAtMs, times.outageAtMs);
  return times.nowMs - completeAtMs <= maxUnconfirmedMs;
};

export default isKeyConfigurationFresh;

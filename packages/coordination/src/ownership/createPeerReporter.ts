/** `silent` is a vote to replace a VM, `heard` confirms its heartbeats, `unsure` does neither. */
type ReachabilityReport = 'silent' | 'unsure' | 'heard';

/**
 * Decides how this VM reports its peers in heartbeats. A peer reported silent is not confirmed for
 * `confirmationDelayMs` after it is heard again, since other VMs may still count the earlier report.
 */
const createPeerReporter = (confirmationDelayMs: number) => {
  const lastReportedSilentAtMs = new Map<string, number>();

  return {
    /** Returns the report on a VM; `canDetectSilence` once this process has run long enough to detect it. */
    state: (
      vm: string,
      isHeard: boolean,
      canDetectSilence: boolean,
      nowMs: number,
    ): ReachabilityReport => {
      if (!isHeard) {
        if (canDetectSilence) lastReportedSilentAtMs.set(vm, nowMs);
        return 'silent';
      }
      const sinceSilentReportMs =
        nowMs - (lastReportedSilentAtMs.get(vm) ?? Number.NEGATIVE_INFINITY);
      return sinceSilentReportMs > confirmationDelayMs ? 'heard' : 'unsure';
    },
  };
};

export default createPeerReporter;

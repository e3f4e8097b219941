/** Number of sent heartbeats whose sending time is kept; older ones are outside the lease. */
const MAX_REMEMBERED_HEARTBEATS = 16;

interface ClockReadings {
  steadyMs: number;
  /** Wall clock: unlike the steady clock it includes the time for which a VM was suspended. */
  wallMs: number;
}

/**
 * Lease of this VM, held while a majority of the voters, itself included, confirm its heartbeats. A VM reports
 * another silent only after more than `leaseMs`, so the lease has expired before a majority reports
 * this VM silent.
 */
const createPeerLease = (leaseMs: number) => {
  const sentAtByHeartbeat = new Map<number, ClockReadings>();
  const latestConfirmationByVm = new Map<string, { beat: number; at: ClockReadings }>();

  const elapsedMs = (now: ClockReadings, at: ClockReadings): number =>
    Math.max(now.steadyMs - at.steadyMs, now.wallMs - at.wallMs);

  /** Those of the others that confirmed a heartbeat from `sinceBeat` on, sent within `leaseMs`. */
  const listConfirming = (others: readonly string[], now: ClockReadings, sinceBeat = 0): string[] =>
    others.filter((vm) => {
      const latest = latestConfirmationByVm.get(vm);
      return latest && latest.beat >= sinceBeat && elapsedMs(now, latest.at) < leaseMs;
    });

  return {
    /** Records the sending time of a heartbeat. */
    recordSent: (beat: number, now: ClockReadings): void => {
      sentAtByHeartbeat.set(beat, now);
      const [oldestHeartbeat] = sentAtByHeartbeat.keys();
      if (sentAtByHeartbeat.size > MAX_REMEMBERED_HEARTBEATS && oldestHeartbeat !== undefined)
        sentAtByHeartbeat.delete(oldestHeartbeat);
    },
    /** Records a confirmation; ignores heartbeats that are old or were not sent by this process. */
    recordConfirmation: (vm: string, beat: number): void => {
      const at = sentAtByHeartbeat.get(beat);
      if (at && (latestConfirmationByVm.get(vm)?.beat ?? -1) < beat)
        latestConfirmationByVm.set(vm, { beat, at });
    },
    listConfirming,
  };
};

export default createPeerLease;

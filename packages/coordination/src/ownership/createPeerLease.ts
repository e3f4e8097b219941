/** Heartbeats of which the sending time is remembered; older ones prove nothing any more. */
const REMEMBERED_BEATS = 16;

interface Clocks {
  steadyMs: number;
  /** Time of day: unlike the steady clock it counts the time for which a VM was suspended. */
  wallMs: number;
}

/**
 * A lease that a VM holds as long as at least half of the other VMs confirm its heartbeats. A VM calls
 * another silent only after a longer time than the lease, so a majority that calls this VM silent does
 * so after its lease has ended.
 */
const createPeerLease = (leaseMs: number) => {
  const sent = new Map<number, Clocks>();
  const confirmed = new Map<string, { beat: number; at: Clocks }>();

  const elapsedMs = (now: Clocks, at: Clocks): number =>
    Math.max(now.steadyMs - at.steadyMs, now.wallMs - at.wallMs);

  return {
    send: (beat: number, now: Clocks): void => {
      sent.set(beat, now);
      const [oldest] = sent.keys();
      if (sent.size > REMEMBERED_BEATS && oldest !== undefined) sent.delete(oldest);
    },
    confirm: (vm: string, beat: number): void => {
      const at = sent.get(beat);
      if (at && (confirmed.get(vm)?.beat ?? -1) < beat) confirmed.set(vm, { beat, at });
    },
    /** Whether half of the others confirmed a heartbeat that was sent within the lease. */
    isHeld: (others: readonly string[], now: Clocks, sinceBeat = 0): boolean => {
      const holding = others.filter((vm) => {
        const last = confirmed.get(vm);
        return last && last.beat >= sinceBeat && elapsedMs(now, last.at) < leaseMs;
      });
      return holding.length * 2 >= others.length;
    },
  };
};

export default createPeerLease;

type Failure = 'unreachable' | 'stale';

interface FailureRecord {
  failure: Failure;
  avoidUntilMs: number;
  delayMs: number;
}

const INITIAL_AVOIDANCE_MS = 2_000;
const MAX_AVOIDANCE_MS = 30_000;

/** Tracks failed requests to other VMs and avoids each failed VM with exponential backoff. */
const createPeerHealth = () => {
  const failures = new Map<string, FailureRecord>();

  return {
    /** Avoids the VM, for twice as long with each consecutive failure up to the maximum. */
    recordFailure: (id: string, failure: Failure, nowMs: number): void => {
      const previousDelayMs = failures.get(id)?.delayMs ?? INITIAL_AVOIDANCE_MS / 2;
      const delayMs = Math.min(previousDelayMs * 2, MAX_AVOIDANCE_MS);
      failures.set(id, { failure, delayMs, avoidUntilMs: nowMs + delayMs });
    },
    recordSuccess: (id: string): void => {
      failures.delete(id);
    },
    /** The first VM that is not avoided, or else the one avoided for the shortest time. */
    choosePeer: (ids: readonly string[], nowMs: number): string | undefined => {
      const avoidedUntilMs = (id: string): number => failures.get(id)?.avoidUntilMs ?? 0;
      const available = ids.find((id) => avoidedUntilMs(id) <= nowMs);
      return available ?? [...ids].sort((a, b) => avoidedUntilMs(a) - avoidedUntilMs(b))[0];
    },
    /** Whether the VM's last request failed. */
    hasFailed: (id: string): boolean => failures.has(id),
    /** VMs that could not be reached at the last request. */
    unreachable: (): Set<string> =>
      new Set(
        [...failures].filter(([, { failure }]) => failure === 'unreachable').map(([id]) => id),
      ),
  };
};

export default createPeerHealth;

type Failure = 'unreachable' | 'stale';

interface Mark {
  failure: Failure;
  avoidUntilMs: number;
  delayMs: number;
}

const FIRST_DELAY_MS = 2_000;
const MAX_DELAY_MS = 30_000;

/** Remembers which other VMs failed this one, and for how long each is avoided. */
const createPeerHealth = () => {
  const marks = new Map<string, Mark>();

  return {
    /** Avoids the VM, longer with each failure in a row. */
    fail: (id: string, failure: Failure, nowMs: number): void => {
      const previous = marks.get(id)?.delayMs ?? FIRST_DELAY_MS / 2;
      const delayMs = Math.min(previous * 2, MAX_DELAY_MS);
      marks.set(id, { failure, delayMs, avoidUntilMs: nowMs + delayMs });
    },
    succeed: (id: string): void => {
      marks.delete(id);
    },
    /** The first VM that is not avoided, or else the one avoided for the shortest time. */
    choose: (ids: readonly string[], nowMs: number): string | undefined => {
      const untilMs = (id: string): number => marks.get(id)?.avoidUntilMs ?? 0;
      const usable = ids.find((id) => untilMs(id) <= nowMs);
      return usable ?? [...ids].sort((a, b) => untilMs(a) - untilMs(b))[0];
    },
    /** Whether the VM failed and has not answered since. */
    hasFailed: (id: string): boolean => marks.has(id),
    /** VMs that could not be reached and were not reached since. */
    unreachable: (): Set<string> =>
      new Set([...marks].filter(([, { failure }]) => failure === 'unreachable').map(([id]) => id)),
  };
};

export default createPeerHealth;

interface OpenCall {
  startedAtMs: number;
  onSilent(): void;
}

interface LivenessProbeOptions {
  /** Resolves when the other side answers; rejects when it does not in time. */
  ping(): Promise<unknown>;
  /** Called when a ping has failed. */
  onSilent?(): void;
  nowMs(): number;
}

/** A call that is answered sooner costs no ping. */
const PROBE_AFTER_MS = 200;
/** A peer that answered a ping while a call waits is pinged again for it after this time. */
const PROBE_AGAIN_AFTER_MS = 1_000;
const FIRST_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 2_000;

/**
 * Tells a peer that is slow from one that is silent: while a call waits, the peer is pinged.
 * A silent peer is pinged until it answers again.
 */
const createLivenessProbe = ({ ping, onSilent, nowMs }: LivenessProbeOptions) => {
  const open = new Set<OpenCall>();
  let timer: NodeJS.Timeout | undefined;
  let isSilent = false;
  /** A call has failed since the peer was last heard. */
  let isSuspect = false;
  let isClosed = false;
  let heardAtMs = Number.NEGATIVE_INFINITY;
  let retryDelayMs = FIRST_RETRY_DELAY_MS;

  const noteAnswer = (): void => {
    heardAtMs = nowMs();
    isSilent = false;
    isSuspect = false;
    retryDelayMs = FIRST_RETRY_DELAY_MS;
  };

  const probe = async (): Promise<void> => {
    try {
      await ping();
      noteAnswer();
    } catch {
      isSilent = true;
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
      open.forEach((call) => call.onSilent());
      onSilent?.();
    }
  };

  const isDue = (): boolean => {
    if (isSilent || isSuspect) return true;
    const sinceHeard = [...open].find(({ startedAtMs }) => startedAtMs > heardAtMs);
    if (sinceHeard && nowMs() - sinceHeard.startedAtMs >= PROBE_AFTER_MS) return true;
    return open.size > 0 && nowMs() - heardAtMs >= PROBE_AGAIN_AFTER_MS;
  };

  const watch = (): void => {
    if (isClosed || timer || (open.size === 0 && !isSilent && !isSuspect)) return;
    timer = setTimeout(
      async () => {
        if (isDue()) await probe();
        timer = undefined;
        watch();
      },
      isSilent ? retryDelayMs : PROBE_AFTER_MS,
    );
    timer.unref();
  };

  return {
    /** Watches a call; `onCallSilent` is called, perhaps repeatedly, while the peer does not answer. */
    track: async <Result>(
      call: () => Promise<Result>,
      onCallSilent: () => void = () => {},
    ): Promise<Result> => {
      const entry = { startedAtMs: nowMs(), onSilent: onCallSilent };
      open.add(entry);
      watch();
      try {
        const result = await call();
        noteAnswer();
        return result;
      } catch (error) {
        isSuspect = true;
        watch();
        throw error;
      } finally {
        open.delete(entry);
      }
    },
    /** Notes that the peer could not be reached. */
    noteFailure: (): void => {
      isSilent = true;
      watch();
    },
    isSilent: () => isSilent,
    close: (): void => {
      isClosed = true;
      clearTimeout(timer);
    },
  };
};

export default createLivenessProbe;

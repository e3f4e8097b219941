interface OpenCall {
  startedAtMs: number;
  onSilent(): void;
}

interface LivenessProbeOptions {
  /** Resolves when the peer answers; rejects when it does not answer in time. */
  ping(): Promise<unknown>;
  /** Called after each failed ping. */
  onSilent?(): void;
  nowMs(): number;
}

/** Calls that are answered sooner cause no ping. */
const PROBE_AFTER_MS = 200;
/** Interval of the pings to a peer that answers them while a call still waits. */
const PROBE_INTERVAL_MS = 1_000;
const FIRST_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 2_000;

/**
 * Distinguishes a slow peer from a silent one by pinging the peer while a call waits. A peer is silent
 * once a ping fails or it is unreachable, and is then pinged until it answers again.
 */
const createLivenessProbe = ({ ping, onSilent, nowMs }: LivenessProbeOptions) => {
  const openCalls = new Set<OpenCall>();
  let timer: NodeJS.Timeout | undefined;
  let isSilent = false;
  /** Whether a call has failed since the last answer of the peer. */
  let hasFailedSinceAnswer = false;
  let isClosed = false;
  let lastAnswerAtMs = Number.NEGATIVE_INFINITY;
  let retryDelayMs = FIRST_RETRY_DELAY_MS;

  const markAnswered = (): void => {
    lastAnswerAtMs = nowMs();
    isSilent = false;
    hasFailedSinceAnswer = false;
    retryDelayMs = FIRST_RETRY_DELAY_MS;
  };

  const probe = async (): Promise<void> => {
    try {
      await ping();
      markAnswered();
    } catch {
      isSilent = true;
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
      openCalls.forEach((call) => call.onSilent());
      onSilent?.();
    }
  };

  const isDue = (): boolean => {
    if (isSilent || hasFailedSinceAnswer) return true;
    const unansweredCall = [...openCalls].find(({ startedAtMs }) => startedAtMs > lastAnswerAtMs);
    if (unansweredCall && nowMs() - unansweredCall.startedAtMs >= PROBE_AFTER_MS) return true;
    return openCalls.size > 0 && nowMs() - lastAnswerAtMs >= PROBE_INTERVAL_MS;
  };

  const scheduleProbe = (): void => {
    if (isClosed || timer || (openCalls.size === 0 && !isSilent && !hasFailedSinceAnswer)) return;
    timer = setTimeout(
      async () => {
        if (isDue()) await probe();
        timer = undefined;
        scheduleProbe();
      },
      isSilent ? retryDelayMs : PROBE_AFTER_MS,
    );
    timer.unref();
  };

  return {
    /** Runs a call; `onCallSilent` is called after each failed ping while the call is open. */
    track: async <Result>(
      call: () => Promise<Result>,
      onCallSilent: () => void = () => {},
    ): Promise<Result> => {
      const openCall = { startedAtMs: nowMs(), onSilent: onCallSilent };
      openCalls.add(openCall);
      scheduleProbe();
      try {
        const result = await call();
        markAnswered();
        return result;
      } catch (error) {
        hasFailedSinceAnswer = true;
        scheduleProbe();
        throw error;
      } finally {
        openCalls.delete(openCall);
      }
    },
    /** Marks the peer as silent because it could not be reached. */
    markSilent: (): void => {
      isSilent = true;
      scheduleProbe();
    },
    isSilent: () => isSilent,
    close: (): void => {
      isClosed = true;
      clearTimeout(timer);
    },
  };
};

export default createLivenessProbe;

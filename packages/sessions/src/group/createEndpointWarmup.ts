import { createWarmupLimiter } from '@auburngrade/coordination';
import type GroupEndpoint from '../seams/groupEndpoint';

/** Timers are not set for longer, since a very low rate would exceed their range. */
const MAX_WAKE_MS = 1_000;

interface EndpointWarmupOptions {
  nowMs(): number;
  /** Called when another statement may be sent. */
  onChange(): void;
}

/** Limits what a cold endpoint is sent, by the entries that it writes; without a rate there is no limit. */
const createEndpointWarmup = ({ nowMs, onChange }: EndpointWarmupOptions) => {
  let ratePerS = 0;
  let entryKey: string | undefined;
  /** Infinite from its return until it has written another entry. */
  let coldUntilMs = Number.NEGATIVE_INFINITY;
  let limiter: ReturnType<typeof createWarmupLimiter> | undefined;
  let wakeTimer: NodeJS.Timeout | undefined;

  const findLimiter = (): ReturnType<typeof createWarmupLimiter> | undefined => {
    if (ratePerS === 0 || nowMs() >= coldUntilMs) limiter = undefined;
    else limiter ??= createWarmupLimiter(ratePerS, nowMs());
    return limiter;
  };
  const getNextSendAtMs = (): number =>
    findLimiter()?.nextSendAtMs(nowMs()) ?? Number.NEGATIVE_INFINITY;
  const scheduleWake = (): void => {
    const waitMs = Math.min(getNextSendAtMs(), coldUntilMs) - nowMs();
    if (waitMs <= 0) return;
    clearTimeout(wakeTimer);
    wakeTimer = setTimeout(
      () => {
        onChange();
        scheduleWake();
      },
      Math.min(waitMs + 1, MAX_WAKE_MS),
    );
  };

  return {
    /** Call with each entry that is read, also with one that was read before. */
    update: (
      { startedAtUnixMs, sequence, warmupLeftMs }: GroupEndpoint,
      nextRatePerS: number,
    ): void => {
      if (nextRatePerS !== ratePerS) limiter = undefined;
      ratePerS = nextRatePerS;
      const key = `${startedAtUnixMs}/${sequence}`;
      if (key !== entryKey) coldUntilMs = warmupLeftMs > 0 ? nowMs() + warmupLeftMs : nowMs();
      entryKey = key;
      scheduleWake();
    },
    /** Call when its evacuation has ended: it may have started anew meanwhile. */
    noteReturned: (): void => {
      coldUntilMs = Number.POSITIVE_INFINITY;
      limiter = undefined;
      scheduleWake();
    },
    /** When the next statement may be sent; in the past while there is no limit. */
    nextSendAtMs: getNextSendAtMs,
    /** Call with each statement, and with each other command. */
    noteSent: (): void => {
      findLimiter()?.noteSent(nowMs());
      scheduleWake();
    },
    close: (): void => clearTimeout(wakeTimer),
  };
};

export default createEndpointWarmup;

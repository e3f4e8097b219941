/** Fewer samples say too little: the first statements also open connections. */
const MIN_SAMPLES = 20;
/** Weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.05;
/** A longer sample counts as this many averages: a pause of this VM must not look like a slow endpoint. */
const MAX_SAMPLE_RATIO = 3;
/** Without a newer sample, the endpoint may have stopped, and may return at any time. */
const MAX_SAMPLE_AGE_MS = 1_000;

interface ServiceTime {
  averageMs: number;
  samples: number;
  lastAtMs: number;
}

interface UsableEndpoint {
  id: string;
  /** Statements in progress there while others wait. */
  concurrency: number;
}

/**
 * Learns how long endpoints take for a class of statements, and derives from it how often a queued
 * statement of the class starts.
 *
 * Load pattern: endpoints of unequal speed, and a VM that stands still for seconds.
 */
const createServiceTimes = () => {
  const times = new Map<string, ServiceTime>();

  const findAverageMs = (endpointId: string, nowMs: number): number | undefined => {
    const time = times.get(endpointId);
    const isKnown =
      time && time.samples >= MIN_SAMPLES && nowMs - time.lastAtMs <= MAX_SAMPLE_AGE_MS;
    return isKnown ? time.averageMs : undefined;
  };

  return {
    note: (endpointId: string, tookMs: number, nowMs: number): void => {
      const time = times.get(endpointId);
      if (!time) {
        times.set(endpointId, { averageMs: tookMs, samples: 1, lastAtMs: nowMs });
        return;
      }
      time.samples += 1;
      time.lastAtMs = nowMs;
      const weight = Math.max(SAMPLE_WEIGHT, 1 / time.samples);
      const sampleMs = Math.min(tookMs, time.averageMs * MAX_SAMPLE_RATIO);
      time.averageMs += (sampleMs - time.averageMs) * weight;
    },
    /** Forgets an endpoint whose role has changed. */
    forget: (endpointId: string): void => {
      times.delete(endpointId);
    },
    /**
     * Average time between two starts while statements wait; undefined while none of the endpoints is
     * known. One that is not known counts as the fastest of the others.
     */
    findStartIntervalMs: (
      endpoints: readonly UsableEndpoint[],
      nowMs: number,
    ): number | undefined => {
      const averagesMs = endpoints.map(({ id }) => findAverageMs(id, nowMs));
      const fastestMs = Math.min(...averagesMs.filter((averageMs) => averageMs !== undefined));
      if (!Number.isFinite(fastestMs)) return undefined;
      const startsPerMs = endpoints.reduce(
        (sum, { concurrency }, index) => sum + concurrency / (averagesMs[index] ?? fastestMs),
        0,
      );
      return startsPerMs > 0 ? 1 / startsPerMs : undefined;
    },
  };
};

export default createServiceTimes;

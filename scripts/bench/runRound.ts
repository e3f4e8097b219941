import { build } from 'hdr-histogram-js';
import type LatencyStats from './latencyStats';

const MS_PER_S = 1_000;
const US_PER_MS = 1_000;
const MEDIAN_PERCENTILE = 50;
const HIGH_PERCENTILE = 99;

/** Runs a statement over and over with a number of them in flight for a time. */
const runRound = async (
  execute: () => Promise<boolean>,
  inFlight: number,
  durationMs: number,
): Promise<LatencyStats> => {
  const histogram = build();
  const startedAtMs = performance.now();
  let errors = 0;

  const loop = async (): Promise<void> => {
    while (performance.now() - startedAtMs < durationMs) {
      const sentAtMs = performance.now();
      const isRan = await execute().catch(() => false);
      histogram.recordValue(Math.round((performance.now() - sentAtMs) * US_PER_MS));
      if (!isRan) errors += 1;
    }
  };

  await Promise.all(Array.from({ length: inFlight }, loop));
  const elapsedS = (performance.now() - startedAtMs) / MS_PER_S;
  return {
    p50Ms: histogram.getValueAtPercentile(MEDIAN_PERCENTILE) / US_PER_MS,
    p99Ms: histogram.getValueAtPercentile(HIGH_PERCENTILE) / US_PER_MS,
    statementsPerS: histogram.totalCount / elapsedS,
    errors,
  };
};

export default runRound;

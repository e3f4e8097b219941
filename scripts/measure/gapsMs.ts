import type { LoadRecord } from '@auburngrade/testkit';

/**
 * For each VM the time from a fault to the first write through it that was acknowledged, or to
 * the end of the run when none was.
 */
const gapsMs = (probes: LoadRecord[], faultAtMs: number, endAtMs: number): number[] => {
  const gaps = new Map<string, number>();
  probes
    .filter(({ atMs }) => atMs >= faultAtMs)
    .forEach(({ vm, atMs, latencyMs, verdict }) => {
      const endedAtMs = verdict === 'ran' ? atMs + latencyMs : endAtMs;
      const gapMs = endedAtMs - faultAtMs;
      gaps.set(vm, Math.min(gaps.get(vm) ?? gapMs, gapMs));
    });
  return [...gaps.values()];
};

export default gapsMs;

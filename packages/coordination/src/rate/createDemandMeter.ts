/** Time constant of the exponential average. */
const AVERAGE_MS = 1_000;
const MS_PER_S = 1_000;

/** Measures arriving requests a second as an exponential average over about a second. */
const createDemandMeter = () => {
  let weight = 0;
  let updatedAtMs = 0;

  const decay = (nowMs: number): void => {
    weight *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / AVERAGE_MS);
    updatedAtMs = Math.max(updatedAtMs, nowMs);
  };

  return {
    count: (nowMs: number): void => {
      decay(nowMs);
      weight += 1;
    },
    perS: (nowMs: number): number => {
      decay(nowMs);
      return (weight * MS_PER_S) / AVERAGE_MS;
    },
  };
};

export default createDemandMeter;

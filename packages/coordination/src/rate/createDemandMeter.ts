/** Time constant of the exponentially decaying count. */
const TIME_CONSTANT_MS = 1_000;
const MS_PER_S = 1_000;

/** Measures the request arrival rate as an exponential moving average over about 1 s. */
const createDemandMeter = () => {
  let decayedCount = 0;
  let updatedAtMs = 0;

  const decay = (nowMs: number): void => {
    decayedCount *= Math.exp(-Math.max(0, nowMs - updatedAtMs) / TIME_CONSTANT_MS);
    updatedAtMs = Math.max(updatedAtMs, nowMs);
  };

  return {
    count: (nowMs: number): void => {
      decay(nowMs);
      decayedCount += 1;
    },
    ratePerS: (nowMs: number): number => {
      decay(nowMs);
      return (decayedCount * MS_PER_S) / TIME_CONSTANT_MS;
    },
  };
};

export default createDemandMeter;

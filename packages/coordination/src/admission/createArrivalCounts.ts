import ARRIVAL_STEP_MS from './arrivalStepMs';

/** Counts the waiting statements of equal limits by their arrival, so that no search is needed. */
const createArrivalCounts = () => {
  const counts = new Map<number, number>();
  let total = 0;

  const change = (arrivedAtMs: number, by: number): void => {
    const step = Math.floor(arrivedAtMs / ARRIVAL_STEP_MS);
    const count = (counts.get(step) ?? 0) + by;
    if (count === 0) counts.delete(step);
    else counts.set(step, count);
    total += by;
  };

  return {
    add: (arrivedAtMs: number): void => change(arrivedAtMs, 1),
    remove: (arrivedAtMs: number): void => change(arrivedAtMs, -1),
    total: () => total,
    countIn: (step: number): number => counts.get(step) ?? 0,
  };
};

export default createArrivalCounts;

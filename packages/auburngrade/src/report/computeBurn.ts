import type Burn from './burn';

/** Works out the burn of an objective from counts. An objective of 1 allows nothing bad. */
const computeBurn = (good: number, bad: number, objectiveRatio: number): Burn => {
  const total = good + bad;
  const allowedRatio = 1 - objectiveRatio;
  if (total === 0 || bad === 0) return { good, bad, rate: 0 };
  const rate = allowedRatio === 0 ? Number.POSITIVE_INFINITY : bad / total / allowedRatio;
  return { good, bad, rate };
};

export default computeBurn;

const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** Whether every majority of one set has a VM in common with every majority of the other. */
const doMajoritiesMeet = (some: readonly string[], others: readonly string[]): boolean => {
  const all = new Set([...some, ...others]);
  return majorityOf(some.length) + majorityOf(others.length) > all.size;
};

export default doMajoritiesMeet;

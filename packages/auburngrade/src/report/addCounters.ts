import type RequestCounters from './requestCounters';

type Counts = Record<string, number>;

const addCounts = (left: Counts, right: Counts): Counts => {
  const names = new Set([...Object.keys(left), ...Object.keys(right)]);
  return Object.fromEntries(
    [...names].map((name) => [name, (left[name] ?? 0) + (right[name] ?? 0)]),
  );
};

/** Adds counters of the same profile and client account. */
const addCounters = (left: RequestCounters, right: RequestCounters): RequestCounters => ({
  ...left,
  ran: left.ran + right.ran,
  refused: addCounts(left.refused, right.refused),
  withinS: addCounts(left.withinS, right.withinS),
});

export default addCounters;

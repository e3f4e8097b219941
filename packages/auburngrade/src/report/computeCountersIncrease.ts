import type RequestCounters from './requestCounters';

type Counts = Record<string, number>;

const sumCounts = (counts: Counts): number =>
  Object.values(counts).reduce((sum, count) => sum + count, 0);

const computeCountsIncrease = (before: Counts, after: Counts): Counts =>
  Object.fromEntries(
    Object.entries(after).map(([name, count]) => [name, count - (before[name] ?? 0)]),
  );

/** What was counted between two readings of one VM; counters that fell belong to a restarted VM. */
const computeCountersIncrease = (
  before: RequestCounters | undefined,
  after: RequestCounters,
): RequestCounters => {
  const isRestarted =
    before !== undefined &&
    (after.ran < before.ran || sumCounts(after.refused) < sumCounts(before.refused));
  if (before === undefined || isRestarted) return after;
  return {
    ...after,
    ran: after.ran - before.ran,
    refused: computeCountsIncrease(before.refused, after.refused),
    withinS: computeCountsIncrease(before.withinS, after.withinS),
  };
};

export default computeCountersIncrease;

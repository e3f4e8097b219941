import type { LoadRecord } from '@auburngrade/testkit';
import type MeasuredAccount from './measuredAccount';
import type PromiseBreaks from './promiseBreaks';

type Items = Record<string, string>;

const MS_PER_S = 1_000;

/** How far counters lie below what was acknowledged, and above what may have run. */
const compareCounters = (records: LoadRecord[], items: Items) => {
  const counters = new Set(records.filter(({ kind }) => kind === 'count').map(({ item }) => item));
  return [...counters].reduce(
    (sum, counter) => {
      const own = records.filter(({ item, kind }) => item === counter && kind === 'count');
      const ran = own.filter(({ verdict }) => verdict === 'ran').length;
      const notRun = own.filter(({ verdict }) => verdict === 'notRun').length;
      const value = Number(items[counter] ?? 0);
      return {
        lost: sum.lost + Math.max(0, ran - value),
        doubled: sum.doubled + Math.max(0, value - (own.length - notRun)),
      };
    },
    { lost: 0, doubled: 0 },
  );
};

/**
 * The most by which an account's answered requests exceed burst and rate at any time. A
 * request is admitted before its answer, so those answered by a time were admitted by it.
 */
const countOverRate = (records: LoadRecord[], accounts: MeasuredAccount[]) =>
  accounts.reduce((sum, { name, ratePerS, burst }) => {
    const answeredAtMs = records
      .filter((record) => record.account === name && record.verdict === 'ran')
      .map(({ atMs, latencyMs }) => atMs + latencyMs)
      .sort((first, second) => first - second);
    const excess = answeredAtMs.map(
      (atMs, index) => index + 1 - burst - (ratePerS * atMs) / MS_PER_S,
    );
    return sum + Math.max(0, Math.floor(Math.max(0, ...excess)));
  }, 0);

/** Compares what callers were told with what the primaries hold after the load. */
const countBreaks = (
  records: LoadRecord[],
  items: Items,
  accounts: MeasuredAccount[],
  isPlanned: boolean,
): PromiseBreaks => {
  const once = records.filter(({ kind }) => kind === 'once');
  const counters = compareCounters(records, items);
  const lostOnce = once.filter(({ verdict, item }) => verdict === 'ran' && !(item in items));
  const open = records.filter(({ verdict }) => verdict === 'mayHaveRun' || verdict === 'noAnswer');
  const untrue = once.filter(({ verdict, item }) => verdict === 'notRun' && item in items);
  return {
    staleSessionReads: records.filter(({ isStale }) => isStale).length,
    lostWrites: lostOnce.length + counters.lost,
    doubledWrites: counters.doubled,
    untrueRefusals: untrue.length,
    overRate: countOverRate(records, accounts),
    cutByPlannedStop: isPlanned ? open.length : 0,
  };
};

export default countBreaks;

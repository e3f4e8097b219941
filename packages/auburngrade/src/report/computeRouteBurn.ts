import computeBurn from './computeBurn';
import type FaultKind from './faultKind';
import classifyFault from './classifyFault';
import type Objectives from './objectives';
import type RequestCounters from './requestCounters';
import type RouteBurn from './routeBurn';

const MS_PER_S = 1_000;
const NOT_FRESH_CODE = 'noFreshEndpoint';

const sumCounts = (counts: [string, number][]): number =>
  counts.reduce((sum, [, count]) => sum + count, 0);

/** Requests within the largest bound that is not above the objective: never too many. */
const countWithin = (counters: RequestCounters, latencyMs: number): number => {
  const bounds = Object.keys(counters.withinS)
    .map(Number)
    .filter((boundS) => boundS * MS_PER_S <= latencyMs);
  return bounds.length === 0 ? 0 : (counters.withinS[String(Math.max(...bounds))] ?? 0);
};

/** Works out the burn of each objective from what was counted in a window. */
const computeRouteBurn = (counters: RequestCounters, objectives: Objectives): RouteBurn => {
  const selectByKind = (kind: FaultKind): [string, number][] =>
    Object.entries(counters.refused).filter(([code]) => classifyFault(code) === kind);
  const ownCounts = selectByKind('own').filter(([, count]) => count > 0);
  const withinCount = Math.min(counters.ran, countWithin(counters, objectives.latencyMs));
  const notFreshCount = counters.refused[NOT_FRESH_CODE] ?? 0;
  return {
    profile: counters.profile,
    account: counters.account,
    availability: computeBurn(counters.ran, sumCounts(ownCounts), objectives.availabilityRatio),
    latency: computeBurn(withinCount, counters.ran - withinCount, objectives.latencyRatio),
    freshness: computeBurn(counters.ran, notFreshCount, objectives.freshnessRatio),
    overRate: sumCounts(selectByKind('overRate')),
    callerErrors: sumCounts(selectByKind('caller')),
    ownFaults: Object.fromEntries(ownCounts),
  };
};

export default computeRouteBurn;

import burnOf from './burnOf';
import type FaultKind from './faultKind';
import faultKindOf from './faultKindOf';
import type Objectives from './objectives';
import type RequestCounters from './requestCounters';
import type RouteBurn from './routeBurn';

const MS_PER_S = 1_000;
const NOT_FRESH_CODE = 'noFreshEndpoint';

const sumOf = (counts: [string, number][]): number =>
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
  const ofKind = (kind: FaultKind): [string, number][] =>
    Object.entries(counters.refused).filter(([code]) => faultKindOf(code) === kind);
  const own = ofKind('own').filter(([, count]) => count > 0);
  const isWithin = Math.min(counters.ran, countWithin(counters, objectives.latencyMs));
  const notFresh = counters.refused[NOT_FRESH_CODE] ?? 0;
  return {
    profile: counters.profile,
    account: counters.account,
    availability: burnOf(counters.ran, sumOf(own), objectives.availabilityRatio),
    latency: burnOf(isWithin, counters.ran - isWithin, objectives.latencyRatio),
    freshness: burnOf(counters.ran, notFresh, objectives.freshnessRatio),
    overRate: sumOf(ofKind('overRate')),
    callerErrors: sumOf(ofKind('caller')),
    ownFaults: Object.fromEntries(own),
  };
};

export default computeRouteBurn;

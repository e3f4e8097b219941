import burnWindows from './burnWindows';
import computeRouteBurn from './computeRouteBurn';
import type Objectives from './objectives';
import type RouteBurn from './routeBurn';
import type Sample from './sample';
import type ServiceLevelReport from './serviceLevelReport';
import sumWindow from './sumWindow';

type ObjectivesOf = (profile: string) => Objectives | undefined;

const formatRoute = ({ profile, account }: RouteBurn): string => `${profile}/${account}`;

const computeBurns = (samples: Sample[], objectivesOf: ObjectivesOf): RouteBurn[] =>
  sumWindow(samples).flatMap((counters) => {
    const objectives = objectivesOf(counters.profile);
    return objectives ? [computeRouteBurn(counters, objectives)] : [];
  });

const maxBurnRate = ({ availability, latency, freshness }: RouteBurn): number =>
  Math.max(availability.rate, latency.rate, freshness.rate);

/** The samples from the last one before the window to the newest. */
const selectSamples = (samples: Sample[], fromMs: number): Sample[] => {
  const start = samples.findLastIndex(({ atMs }) => atMs <= fromMs);
  return samples.slice(Math.max(0, start));
};

const listUnreachableVms = (newest: Sample | undefined): ServiceLevelReport['unreachable'] =>
  Object.entries(newest?.vms ?? {}).flatMap(([vm, state]) =>
    state.kind === 'unreachable' ? [{ vm, message: state.message }] : [],
  );

const computeSeries = (
  samples: Sample[],
  objectivesOf: ObjectivesOf,
): ServiceLevelReport['series'] => {
  const series = new Map<string, { atMs: number; rate: number }[]>();
  samples.slice(1).forEach((sample, index) => {
    const before = samples[index];
    if (!before) return;
    computeBurns([before, sample], objectivesOf).forEach((burn) => {
      const points = series.get(formatRoute(burn)) ?? [];
      points.push({ atMs: sample.atMs, rate: burn.availability.rate });
      series.set(formatRoute(burn), points);
    });
  });
  return [...series].map(([route, points]) => ({ route, points }));
};

/** Works out service-level burn from samples in order of time. */
const computeReport = (samples: Sample[], objectivesOf: ObjectivesOf): ServiceLevelReport => {
  const newest = samples.at(-1);
  const atMs = newest?.atMs ?? 0;
  const coveredMs = atMs - (samples[0]?.atMs ?? atMs);
  const computeBurnsOver = (lengthMs: number): RouteBurn[] =>
    computeBurns(selectSamples(samples, atMs - lengthMs), objectivesOf);

  const windowLengthsMs = [
    ...new Set(burnWindows.flatMap(({ shortMs, longMs }) => [shortMs, longMs])),
  ];
  const burning = burnWindows.map(({ name, threshold, shortMs, longMs }) => {
    const isBurning = (burn: RouteBurn): boolean => maxBurnRate(burn) >= threshold;
    const short = computeBurnsOver(shortMs).filter(isBurning).map(formatRoute);
    const long = computeBurnsOver(longMs).filter(isBurning).map(formatRoute);
    return { name, threshold, routes: long.filter((route) => short.includes(route)) };
  });
  return {
    atMs,
    coveredMs,
    unreachable: listUnreachableVms(newest),
    whole: computeBurns(samples, objectivesOf),
    windows: windowLengthsMs
      .sort((a, b) => a - b)
      .map((lengthMs) => ({
        lengthMs,
        isCovered: coveredMs >= lengthMs,
        routes: computeBurnsOver(lengthMs),
      })),
    burning,
    series: computeSeries(samples, objectivesOf),
  };
};

export default computeReport;

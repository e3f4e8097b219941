import burnWindows from './burnWindows';
import computeRouteBurn from './computeRouteBurn';
import type Objectives from './objectives';
import type RouteBurn from './routeBurn';
import type Sample from './sample';
import type ServiceLevelReport from './serviceLevelReport';
import sumWindow from './sumWindow';

type ObjectivesOf = (profile: string) => Objectives | undefined;

const routeOf = ({ profile, account }: RouteBurn): string => `${profile}/${account}`;

const burnsOf = (samples: Sample[], objectivesOf: ObjectivesOf): RouteBurn[] =>
  sumWindow(samples).flatMap((counters) => {
    const objectives = objectivesOf(counters.profile);
    return objectives ? [computeRouteBurn(counters, objectives)] : [];
  });

const worstRate = ({ availability, latency, freshness }: RouteBurn): number =>
  Math.max(availability.rate, latency.rate, freshness.rate);

/** The samples from the last one before the window to the newest. */
const samplesWithin = (samples: Sample[], fromMs: number): Sample[] => {
  const start = samples.findLastIndex(({ atMs }) => atMs <= fromMs);
  return samples.slice(Math.max(0, start));
};

const unreachableOf = (newest: Sample | undefined): ServiceLevelReport['unreachable'] =>
  Object.entries(newest?.vms ?? {}).flatMap(([vm, state]) =>
    state.kind === 'unreachable' ? [{ vm, message: state.message }] : [],
  );

const seriesOf = (samples: Sample[], objectivesOf: ObjectivesOf): ServiceLevelReport['series'] => {
  const series = new Map<string, { atMs: number; rate: number }[]>();
  samples.slice(1).forEach((sample, index) => {
    const before = samples[index];
    if (!before) return;
    burnsOf([before, sample], objectivesOf).forEach((burn) => {
      const points = series.get(routeOf(burn)) ?? [];
      points.push({ atMs: sample.atMs, rate: burn.availability.rate });
      series.set(routeOf(burn), points);
    });
  });
  return [...series].map(([route, points]) => ({ route, points }));
};

/** Works out service-level burn from samples in order of time. */
const computeReport = (samples: Sample[], objectivesOf: ObjectivesOf): ServiceLevelReport => {
  const newest = samples.at(-1);
  const atMs = newest?.atMs ?? 0;
  const coveredMs = atMs - (samples[0]?.atMs ?? atMs);
  const burnsOver = (lengthMs: number): RouteBurn[] =>
    burnsOf(samplesWithin(samples, atMs - lengthMs), objectivesOf);

  const lengths = [...new Set(burnWindows.flatMap(({ shortMs, longMs }) => [shortMs, longMs]))];
  const burning = burnWindows.map(({ name, threshold, shortMs, longMs }) => {
    const isBurning = (burn: RouteBurn): boolean => worstRate(burn) >= threshold;
    const short = burnsOver(shortMs).filter(isBurning).map(routeOf);
    const long = burnsOver(longMs).filter(isBurning).map(routeOf);
    return { name, threshold, routes: long.filter((route) => short.includes(route)) };
  });
  return {
    atMs,
    coveredMs,
    unreachable: unreachableOf(newest),
    whole: burnsOf(samples, objectivesOf),
    windows: lengths
      .sort((a, b) => a - b)
      .map((lengthMs) => ({
        lengthMs,
        isCovered: coveredMs >= lengthMs,
        routes: burnsOver(lengthMs),
      })),
    burning,
    series: seriesOf(samples, objectivesOf),
  };
};

export default computeReport;

import addCounters from './addCounters';
import countersGrowth from './countersGrowth';
import type RequestCounters from './requestCounters';
import type Sample from './sample';

type ByRoute = Map<string, RequestCounters>;

const routeOf = ({ profile, account }: RequestCounters): string => `${profile}/${account}`;

const countersOf = (sample: Sample, vm: string): ByRoute | undefined => {
  const found = sample.vms[vm];
  if (found?.kind !== 'reached') return undefined;
  return new Map(found.counters.map((counters) => [routeOf(counters), counters]));
};

/**
 * Sums what all VMs counted from the first sample to the last, by profile and
 * client account. A VM that was not listed at first started later and counts whole.
 */
const sumWindow = (samples: Sample[]): RequestCounters[] => {
  const sums: ByRoute = new Map();
  const [first] = samples;
  const vms = new Set(samples.flatMap((sample) => Object.keys(sample.vms)));
  vms.forEach((vm) => {
    const isNew = first !== undefined && !(vm in first.vms);
    let before: ByRoute | undefined = isNew ? new Map() : undefined;
    samples.forEach((sample) => {
      const after = countersOf(sample, vm);
      if (!after) return;
      const known = before;
      if (known) {
        after.forEach((counters, route) => {
          const growth = countersGrowth(known.get(route), counters);
          const sum = sums.get(route);
          sums.set(route, sum ? addCounters(sum, growth) : growth);
        });
      }
      before = after;
    });
  });
  return [...sums.values()];
};

export default sumWindow;

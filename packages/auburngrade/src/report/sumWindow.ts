import addCounters from './addCounters';
import computeCountersIncrease from './computeCountersIncrease';
import type RequestCounters from './requestCounters';
import type Sample from './sample';

type CountersByRoute = Map<string, RequestCounters>;

const formatRoute = ({ profile, account }: RequestCounters): string => `${profile}/${account}`;

const indexCounters = (sample: Sample, vm: string): CountersByRoute | undefined => {
  const vmSample = sample.vms[vm];
  if (vmSample?.kind !== 'reached') return undefined;
  return new Map(vmSample.counters.map((counters) => [formatRoute(counters), counters]));
};

/**
 * Sums what all VMs counted from the first sample to the last, by profile and
 * client account. A VM that was not listed at first started later and counts whole.
 */
const sumWindow = (samples: Sample[]): RequestCounters[] => {
  const sums: CountersByRoute = new Map();
  const [first] = samples;
  const vms = new Set(samples.flatMap((sample) => Object.keys(sample.vms)));
  vms.forEach((vm) => {
    const isNew = first !== undefined && !(vm in first.vms);
    let before: CountersByRoute | undefined = isNew ? new Map() : undefined;
    samples.forEach((sample) => {
      const after = indexCounters(sample, vm);
      if (!after) return;
      const known = before;
      if (known) {
        after.forEach((counters, route) => {
          const increase = computeCountersIncrease(known.get(route), counters);
          const sum = sums.get(route);
          sums.set(route, sum ? addCounters(sum, increase) : increase);
        });
      }
      before = after;
    });
  });
  return [...sums.values()];
};

export default sumWindow;

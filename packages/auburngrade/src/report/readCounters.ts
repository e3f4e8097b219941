import type { z } from 'zod';
import type metricsJsonSchema from './metricsJsonSchema';
import type RequestCounters from './requestCounters';

type MetricsJson = z.infer<typeof metricsJsonSchema>;

const REQUESTS_METRIC = 'auburngrade_requests_total';
const DURATION_METRIC = 'auburngrade_request_duration_seconds';
const DURATION_BUCKET_METRIC = `${DURATION_METRIC}_bucket`;
const INFINITE_BOUND = '+Inf';

/** Takes the counters of requests out of a VM's metrics, by profile and client account. */
const readCounters = (metrics: MetricsJson): RequestCounters[] => {
  const routes = new Map<string, RequestCounters>();
  const getOrCreateRoute = (profile: string, account: string): RequestCounters => {
    const name = `${profile}/${account}`;
    const known = routes.get(name) ?? { profile, account, ran: 0, refused: {}, withinS: {} };
    routes.set(name, known);
    return known;
  };
  const findValues = (name: string) => metrics.find((metric) => metric.name === name)?.values ?? [];

  findValues(REQUESTS_METRIC).forEach(({ value, labels }) => {
    const route = getOrCreateRoute(String(labels.profile), String(labels.account));
    const count = value ?? 0;
    if (labels.verdict === 'ran') route.ran += count;
    else route.refused[String(labels.code)] = (route.refused[String(labels.code)] ?? 0) + count;
  });
  findValues(DURATION_METRIC)
    .filter(
      ({ metricName, labels }) =>
        metricName === DURATION_BUCKET_METRIC && labels.le !== INFINITE_BOUND,
    )
    .forEach(({ value, labels }) => {
      const { withinS } = getOrCreateRoute(String(labels.profile), String(labels.account));
      const bound = String(labels.le);
      withinS[bound] = (withinS[bound] ?? 0) + (value ?? 0);
    });
  return [...routes.values()];
};

export default readCounters;

import { Counter, Histogram, type Registry } from 'prom-client';

const LATENCY_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30];

/** Creates request counters and latencies, which the service-level burn report reads. */
const createRequestMetrics = (registry: Registry) => ({
  requests: new Counter({
    name: 'auburngrade_requests_total',
    help: 'Requests of callers by profile, client account, verdict and refusal code.',
    labelNames: ['profile', 'account', 'mode', 'verdict', 'code'],
    registers: [registry],
  }),
  latencyS: new Histogram({
    name: 'auburngrade_request_duration_seconds',
    help: 'Time from arrival to answer of requests that ran.',
    labelNames: ['profile', 'account', 'mode'],
    buckets: LATENCY_BUCKETS_S,
    registers: [registry],
  }),
});

export default createRequestMetrics;

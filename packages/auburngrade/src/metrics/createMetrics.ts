import { Counter, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

const LATENCY_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30];

/** The library's default of 10 ms wakes an idle process 100 times a second. */
const EVENT_LOOP_LOOK_INTERVAL_MS = 100;

/** Creates the metrics of a daemon. */
const createMetrics = () => {
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    prefix: 'auburngrade_',
    eventLoopMonitoringPrecision: EVENT_LOOP_LOOK_INTERVAL_MS,
  });
  return {
    registry,
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
    served: new Counter({
      name: 'auburngrade_statements_total',
      help: 'Statements run by this VM on endpoints, by group and role of the endpoint.',
      labelNames: ['group', 'role', 'mode'],
      registers: [registry],
    }),
  };
};

export default createMetrics;

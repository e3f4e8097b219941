import { Counter, Registry, collectDefaultMetrics } from 'prom-client';
import createRequestMetrics from './createRequestMetrics';

/** prom-client's default of 10 ms wakes an idle process 100 times a second. */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 100;

/** Creates the registry and the metrics of a daemon. */
const createMetrics = () => {
  const registry = new Registry();
  collectDefaultMetrics({
    register: registry,
    prefix: 'auburngrade_',
    eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS,
  });
  return {
    registry,
    ...createRequestMetrics(registry),
    served: new Counter({
      name: 'auburngrade_statements_total',
      help: 'Statements run by this VM on endpoints, by group and role of the endpoint.',
      labelNames: ['group', 'role', 'mode'],
      registers: [registry],
    }),
  };
};

export default createMetrics;

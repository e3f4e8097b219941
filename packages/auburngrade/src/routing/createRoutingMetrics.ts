import { Counter, type Registry } from 'prom-client';

/** Creates the metrics of routing between VMs and of retries. */
const createRoutingMetrics = (registry: Registry) => ({
  forwards: new Counter({
    name: 'auburngrade_forwards_total',
    help: 'Statements sent to another VM that holds connections to their group.',
    labelNames: ['group'],
    registers: [registry],
  }),
  retries: new Counter({
    name: 'auburngrade_retries_total',
    help: 'Attempts after the first, by the code of the refusal before.',
    labelNames: ['group', 'code'],
    registers: [registry],
  }),
});

export default createRoutingMetrics;

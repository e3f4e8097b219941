import { Counter, Histogram, type Registry } from 'prom-client';

const PART_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 13_000, 30_000];

/** Creates the metrics of the promotions run by this VM. */
const createFailoverMetrics = (registry: Registry) => ({
  partDurationMs: new Histogram({
    name: 'auburngrade_failover_part_ms',
    help: 'Parts of completed changes of primary: detect, cas, fence, promote, publish, total.',
    labelNames: ['group', 'part'],
    buckets: PART_BUCKETS_MS,
    registers: [registry],
  }),
  promotions: new Counter({
    name: 'auburngrade_promotions_total',
    help: 'Promotions by group, reason and whether they completed or were abandoned.',
    labelNames: ['group', 'reason', 'result'],
    registers: [registry],
  }),
});

export default createFailoverMetrics;

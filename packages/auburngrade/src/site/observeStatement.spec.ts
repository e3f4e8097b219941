import { expect } from 'chai';
import { Registry } from 'prom-client';
import createRequestMetrics from '../metrics/createRequestMetrics';
import metricsJsonSchema from '../report/metricsJsonSchema';
import readCounters from '../report/readCounters';
import observeStatement from './observeStatement';

const route = { database: 'lots', account: 'ranch', isInTransaction: false, tookMs: 30 };
const refusal = (code: 'busy' | 'inDoubt') =>
  ({ ...route, result: { kind: 'refused', code, message: '' } }) as const;

describe('observeStatement', () => {
  it('records the counters that the service-level burn report reads', async () => {
    const registry = new Registry();
    const metrics = createRequestMetrics(registry);
    const complete = { kind: 'complete', rows: [], signature: 's' } as const;
    observeStatement(metrics, { ...route, result: complete });
    observeStatement(metrics, { ...route, result: complete, tookMs: 700 });
    observeStatement(metrics, refusal('busy'));
    observeStatement(metrics, refusal('inDoubt'));
    const served = JSON.parse(JSON.stringify(await registry.getMetricsAsJSON()));
    const [counters] = readCounters(metricsJsonSchema.parse(served));
    expect(counters).to.deep.include({ profile: 'lots', account: 'ranch', ran: 2 });
    expect(counters?.refused).to.deep.equal({ busy: 1, inDoubt: 1 });
    expect(counters?.withinS).to.deep.include({ '0.05': 1, '1': 2 });
  });

  it('labels each refusal with whether the statement may have run', async () => {
    const registry = new Registry();
    const metrics = createRequestMetrics(registry);
    observeStatement(metrics, refusal('busy'));
    observeStatement(metrics, refusal('inDoubt'));
    const text = await registry.metrics();
    expect(text).to.match(/verdict="notRun",code="busy"\} 1/);
    expect(text).to.match(/verdict="mayHaveRun",code="inDoubt"\} 1/);
  });
});

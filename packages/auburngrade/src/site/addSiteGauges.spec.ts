import { expect } from 'chai';
import { Registry } from 'prom-client';
import addSiteGauges from './addSiteGauges';

describe('addSiteGauges', () => {
  // Guards against a counter that grows with each look at it.
  it('shows what callers hold and how many were refused, the same at each look', async () => {
    const registry = new Registry();
    addSiteGauges(registry, {
      sessions: () => 0,
      configurationVersion: () => 0,
      isVoter: () => true,
      storeEra: () => 0,
      evacuations: () => [],
      callerConnections: () => 7,
      callerMemory: () => ({ input: 5 }),
      callerRefusals: () => new Map([['memory', 3]]),
      groups: () => [],
    });
    await registry.metrics();
    const text = await registry.metrics();
    expect(text).to.include('auburngrade_caller_connections 7');
    expect(text).to.include('auburngrade_caller_memory_bytes{use="input"} 5');
    expect(text).to.include('auburngrade_caller_limited_total{reason="memory"} 3');
  });
});

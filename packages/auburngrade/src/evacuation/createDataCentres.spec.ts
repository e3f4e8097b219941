import { setTimeout as sleep } from 'node:timers/promises';
import { createConfigurationState, documentKinds } from '@auburngrade/coordination';
import { expect } from 'chai';
import { Registry } from 'prom-client';
import createDataCentres from './createDataCentres';

const DRAIN_TIMEOUT_MS = 60;
const LOADED = {
  key: `${documentKinds.account.prefix}ranch`,
  valueJson: JSON.stringify({ limit: { ratePerS: 1, burst: 1 } }),
};

/** A VM that has loaded its configuration, unless it starts while the data centre is evacuated. */
const createFixture = (isStarting = false) => {
  const clock = { ms: 0 };
  const configuration = createConfigurationState();
  const registry = new Registry();
  const logged: unknown[] = [];
  const info = (event: string, fields?: object): void => {
    logged.push({ event, ...fields });
  };
  const dataCentres = createDataCentres({
    configuration,
    drainTimeoutMs: DRAIN_TIMEOUT_MS,
    registry,
    logger: { debug: () => {}, info, warn: () => {}, error: () => {} },
    nowMs: () => clock.ms,
  });
  let revision = 1;
  if (!isStarting) configuration.applyChanges(1, [{ ...LOADED, modRevision: 1 }]);
  return {
    clock,
    dataCentres,
    logged,
    registry,
    put: (state: 'evacuated' | 'inService' | undefined): void => {
      revision += 1;
      const key = `${documentKinds.dataCentre.prefix}waco`;
      const valueJson = state && JSON.stringify({ state });
      configuration.applyChanges(revision, [{ key, valueJson, modRevision: revision }]);
    },
  };
};

describe('createDataCentres', () => {
  it('evacuates a data centre for the time that is left to drain it', () => {
    const { clock, dataCentres, put } = createFixture();
    expect(dataCentres.phaseOf('waco')).to.equal('inService');
    put('evacuated');
    expect(dataCentres.phaseOf('waco')).to.equal('evacuating');
    expect(dataCentres.phaseOf('temple')).to.equal('inService');
    clock.ms = DRAIN_TIMEOUT_MS;
    expect(dataCentres.phaseOf('waco')).to.equal('evacuated');
  });

  it('leaves no time to drain on a VM that starts meanwhile: nothing of it runs there', () => {
    const { dataCentres, put } = createFixture(true);
    put('evacuated');
    expect(dataCentres.phaseOf('waco')).to.equal('evacuated');
  });

  it('keeps the start of an evacuation that is repeated, and forgets it once it is over', () => {
    const { clock, dataCentres, put } = createFixture();
    put('evacuated');
    clock.ms = DRAIN_TIMEOUT_MS;
    put('evacuated');
    expect(dataCentres.phaseOf('waco')).to.equal('evacuated');
    put(undefined);
    expect(dataCentres.phaseOf('waco')).to.equal('inService');
    put('evacuated');
    expect(dataCentres.phaseOf('waco')).to.equal('evacuating');
  });

  it('tells its listeners of changes and of the end of the draining', async () => {
    const { clock, dataCentres, put } = createFixture();
    const phases: string[] = [];
    dataCentres.onChange(() => phases.push(dataCentres.phaseOf('waco')));
    put('evacuated');
    clock.ms = DRAIN_TIMEOUT_MS;
    await sleep(2 * DRAIN_TIMEOUT_MS);
    put('inService');
    expect(phases).to.deep.equal(['evacuating', 'evacuated', 'inService']);
  });

  it('logs changes, and shows the state of each data centre with a document', async () => {
    const { logged, put, registry } = createFixture();
    put('evacuated');
    put('evacuated');
    expect(logged).to.deep.equal([
      { event: 'dataCentre.changed', dataCentre: 'waco', state: 'evacuated', revision: 2 },
    ]);
    expect(await registry.metrics()).to.include(
      'auburngrade_data_centre_evacuated{data_centre="waco"} 1',
    );
    put('inService');
    expect(await registry.metrics()).to.include('evacuated{data_centre="waco"} 0');
  });
});

import {
  createConfigurationState,
  createVmLease,
  documentKinds,
  type QuotaRecord,
} from '@auburngrade/coordination';
import type { ConditionalWrite, ConfigurationStore } from '@auburngrade/platform';
import { expect } from 'chai';
import createQuotaRecordWriter from './createQuotaRecordWriter';
import createQuotaRoles from './createQuotaRoles';
import createQuotaState from './createQuotaState';

const NAME = 'account/ranch';
const KEY = documentKinds.share.prefix + NAME;
const VM = 'waco-1';
const INCARNATION = 7;
const LEASE_MS = 600_000;
const VM_LEASE_MS = 3_000;
const WITNESS = 'waco-2';
const LEASE_GROUPS = [[WITNESS]];
const WHOLE = 1_000_000;

const createFixture = () => {
  const clock = { ms: 100_000 };
  const nowMs = (): number => clock.ms;
  const configuration = createConfigurationState();
  const lease = createVmLease(VM_LEASE_MS);
  let leaseTerm = 0;
  const store = { isAnswerLost: false, value: undefined as string | undefined };
  const platform = {
    compareAndSwap: async ([write]: ConditionalWrite[]) => {
      store.value = write?.valueJson;
      return store.isAnswerLost
        ? { kind: 'unknown' as const, message: 'lost' }
        : { kind: 'applied' as const, revision: 2 };
    },
  } as Partial<ConfigurationStore> as ConfigurationStore;
  const state = createQuotaState(NAME, { ratePerS: 10, burst: 10 });
  const recordWriter = createQuotaRecordWriter({
    vm: VM,
    incarnation: INCARNATION,
    configuration,
    platform,
    lease,
    timeoutMs: 100,
    nowMs,
    logger: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
  });
  const roles = createQuotaRoles({
    vm: VM,
    incarnation: INCARNATION,
    configuration,
    leaseMs: LEASE_MS,
    lease,
    confirmedAtMs: nowMs,
    nowMs,
  });
  configuration.applySnapshot(1, []);
  return {
    clock,
    store,
    state,
    recordWriter,
    roles,
    /** Takes the VM's lease in a next term, as after it has lapsed. */
    takeLease: (): void => {
      leaseTerm += 1;
      lease.setRecord({ term: leaseTerm, groups: LEASE_GROUPS }, nowMs());
      lease.renew(WITNESS, leaseTerm, nowMs(), nowMs());
    },
    learn: (): void =>
      configuration.applyChanges(2, [{ key: KEY, valueJson: store.value, modRevision: 2 }]),
    record: (): QuotaRecord | undefined => configuration.get('share', NAME),
  };
};

describe('createQuotaRoles', () => {
  it('allocates all units in an epoch that the VM has claimed under its present lease', async () => {
    const { takeLease, recordWriter, state, roles, clock } = createFixture();
    takeLease();
    await recordWriter.claim(state);
    roles.refresh(state);
    expect(state.keeper?.take(clock.ms)).to.equal(true);
    expect(state.keeper?.units(clock.ms)).to.equal(WHOLE);
  });

  it('allocates nothing in an epoch that was claimed under a lease that has lapsed', async () => {
    const { takeLease, recordWriter, state, roles, store, clock, learn, record } = createFixture();
    takeLease();
    store.isAnswerLost = true;
    await recordWriter.claim(state);
    clock.ms += VM_LEASE_MS + 1_000;
    takeLease();
    learn();
    expect(record()?.keeper).to.equal(VM);
    roles.refresh(state);
    expect(state.keeper?.take(clock.ms) ?? false).to.equal(false);
    expect(state.lostEpoch).to.equal(record()?.epoch);
  });

  it('nor when it tried to claim that epoch again under its present lease', async () => {
    const { takeLease, recordWriter, state, roles, store, clock, learn, record } = createFixture();
    takeLease();
    store.isAnswerLost = true;
    await recordWriter.claim(state);
    clock.ms += VM_LEASE_MS + 1_000;
    takeLease();
    await recordWriter.claim(state);
    learn();
    roles.refresh(state);
    expect(state.keeper?.take(clock.ms) ?? false).to.equal(false);
    expect(state.lostEpoch).to.equal(record()?.epoch);
  });
});

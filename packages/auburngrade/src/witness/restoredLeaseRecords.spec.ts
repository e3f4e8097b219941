import {
  createConfigurationState,
  createVmLease,
  toHistoryPosition,
  type ConfigurationEntry,
} from '@auburngrade/coordination';
import type { ConditionalWrite, ConfigurationStore } from '@auburngrade/platform';
import { expect } from 'chai';
import createExpiryProver from './createExpiryProver';
import createLeaseRecordStore from './createLeaseRecordStore';
import createWitnessSelector from './createWitnessSelector';

const LEASE_MS = 3_000;
const KEY = '/auburngrade/lease/waco-1';

const createFixture = () => {
  const clock = { ms: 100_000 };
  const nowMs = (): number => clock.ms;
  const hooks = { onAsked: (): void => undefined };
  const entries = new Map<string, ConfigurationEntry>();
  let position = toHistoryPosition(1, 10);
  const platform = {
    range: async (key: string) => ({
      revision: position,
      entries: [...entries.values()].filter((entry) => entry.key.startsWith(key)),
    }),
    compareAndSwap: async ([write]: ConditionalWrite[]) => {
      const current = entries.get(write?.key ?? '');
      if (!write || (current?.modRevision ?? 0) !== write.expectedRevision)
        return { kind: 'conflict' as const, revision: position, current: current ? [current] : [] };
      position += 1;
      const { key, valueJson } = write;
      entries.set(key, { key, valueJson, modRevision: position });
      return { kind: 'applied' as const, revision: position };
    },
  } as Partial<ConfigurationStore> as ConfigurationStore;
  const records = createLeaseRecordStore(platform, 100, nowMs);
  const configuration = createConfigurationState();
  const lease = createVmLease(LEASE_MS);
  const selector = createWitnessSelector({
    vm: 'waco-1',
    dataCentre: 'waco',
    incarnation: 7,
    leaseMs: LEASE_MS,
    configuration,
    records,
    lease,
    nowMs,
  });
  const prover = createExpiryProver({
    vm: 'temple-1',
    leaseMs: LEASE_MS,
    records,
    promise: () => ({ isPromised: false, renewedAgeMs: 0 }),
    send: async () => {
      hooks.onAsked();
      return {};
    },
    nowMs,
  });
  return {
    clock,
    entries,
    prover,
    update: () => selector.update({ isIdle: () => true, handOver: async () => undefined }),
    learnPosition: (): void => configuration.applyChanges(position, []),
    /** Writes the record of a VM again, unchanged. */
    rewrite: (): void => {
      const entry = entries.get(KEY);
      position += 1;
      if (entry) entries.set(KEY, { ...entry, modRevision: position });
    },
    onAskedForPromise: (listener: () => void): void => {
      hooks.onAsked = listener;
    },
    restoreWithout: (key: string): void => {
      entries.delete(key);
      position = toHistoryPosition(2, 5);
    },
  };
};

describe('lease records on a store that was restored from a copy', () => {
  it('are written again by a VM whose record the copy lacks', async () => {
    const { update, learnPosition, restoreWithout, entries, clock } = createFixture();
    clock.ms += 2_000;
    learnPosition();
    await update();
    const written = entries.get(KEY)?.valueJson;
    expect(written).to.be.a('string');
    restoreWithout(KEY);
    learnPosition();
    await update();
    expect(entries.get(KEY)?.valueJson).to.equal(written);
  });

  it('prove no expiry by their absence until live VMs had time to write them again', async () => {
    const { restoreWithout, prover, clock } = createFixture();
    await prover.proveByRecord('waco-1');
    clock.ms += 60_000;
    restoreWithout(KEY);
    expect(await prover.proveByRecord('waco-1')).to.equal(false);
    clock.ms += 60_000;
    expect(await prover.proveByRecord('waco-1')).to.equal(true);
  });

  it('prove no expiry by being written again while the proof is collected', async () => {
    const { entries, prover, rewrite, onAskedForPromise } = createFixture();
    const record = { term: 7, leaseMs: LEASE_MS, groups: [['waco-2', 'waco-3']] };
    entries.set(KEY, { key: KEY, valueJson: JSON.stringify(record), modRevision: 1 });
    onAskedForPromise(rewrite);
    expect(await prover.proveByRecord('waco-1')).to.equal(false);
  });
});

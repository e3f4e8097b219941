import { createConfigurationState, type ConfigurationState } from '@auburngrade/coordination';
import { expect } from 'chai';
import createLeaseSeat from '../witness/createLeaseSeat';
import createListView from './createListView';

const VM = JSON.stringify({ dataCentre: 'waco', host: 'h', callerPort: 1, vmPort: 2 });
const vmAt = (name: string, modRevision: number, valueJson: string | undefined = VM) => ({
  key: `/platform/vms/${name}`,
  valueJson,
  modRevision,
});
const accountAt = (modRevision: number) => ({
  key: '/auburngrade/account/ranch',
  valueJson: JSON.stringify({ limit: { ratePerS: 1, burst: 1 } }),
  modRevision,
});

describe('createListView', () => {
  let configuration: ConfigurationState;

  beforeEach(() => {
    configuration = createConfigurationState();
    configuration.applyChanges(1, [vmAt('waco-1', 1)]);
  });

  it('gives what the list says now, worked out once for each change of the list', () => {
    let count = 0;
    const view = createListView(configuration, () => {
      count += 1;
      return configuration.names('vm');
    });
    expect([view(), view()]).to.deep.equal([['waco-1'], ['waco-1']]);
    configuration.applyChanges(2, [accountAt(2)]);
    view();
    expect(count).to.equal(1);
    configuration.applyChanges(3, [vmAt('waco-2', 3)]);
    expect(view()).to.deep.equal(['waco-1', 'waco-2']);
    configuration.applySnapshot(4, [vmAt('waco-2', 3)]);
    expect(view()).to.deep.equal(['waco-2']);
    expect(count).to.equal(3);
  });

  it('keeps the seat of a lease from reading the list at each look', async () => {
    let reads = 0;
    const counted = {
      ...configuration,
      list: (kind: Parameters<typeof configuration.list>[0]) => {
        reads += 1;
        return configuration.list(kind);
      },
    } as ConfigurationState;
    const record = { term: 1, groups: [['waco-1']] };
    const seat = createLeaseSeat({
      vm: 'waco-2',
      dataCentre: 'waco',
      incarnation: 1,
      leaseMs: 3_000,
      configuration: counted,
      records: { read: async () => undefined, write: async () => true },
      lease: {
        record: () => record,
        seat: () => {},
        renew: () => {},
        standing: () => 1,
        hasStood: () => true,
        isRenewedBy: () => true,
      },
      nowMs: () => 0,
    });
    const use = { isIdle: () => true, handOver: async () => {} };
    for (let look = 0; look < 10; look += 1) await seat.update(use);
    expect(reads).to.equal(1);
  });
});

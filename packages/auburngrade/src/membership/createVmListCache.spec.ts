import { createConfigurationState, type ConfigurationState } from '@auburngrade/coordination';
import { expect } from 'chai';
import createWitnessSelector from '../witness/createWitnessSelector';
import createVmListCache from './createVmListCache';

const VM_JSON = JSON.stringify({ dataCentre: 'waco', host: 'h', callerPort: 1, vmPort: 2 });
const createVmEntry = (
  name: string,
  modRevision: number,
  valueJson: string | undefined = VM_JSON,
) => ({
  key: `/platform/vms/${name}`,
  valueJson,
  modRevision,
});
const createAccountEntry = (modRevision: number) => ({
  key: '/auburngrade/account/ranch',
  valueJson: JSON.stringify({ limit: { ratePerS: 1, burst: 1 } }),
  modRevision,
});

describe('createListView', () => {
  let configuration: ConfigurationState;

  beforeEach(() => {
    configuration = createConfigurationState();
    configuration.applyChanges(1, [createVmEntry('waco-1', 1)]);
  });

  it('returns the current value and recomputes it once per change of the VM list', () => {
    let computations = 0;
    const view = createVmListCache(configuration, () => {
      computations += 1;
      return configuration.listNames('vm');
    });
    expect([view(), view()]).to.deep.equal([['waco-1'], ['waco-1']]);
    configuration.applyChanges(2, [createAccountEntry(2)]);
    view();
    expect(computations).to.equal(1);
    configuration.applyChanges(3, [createVmEntry('waco-2', 3)]);
    expect(view()).to.deep.equal(['waco-1', 'waco-2']);
    configuration.applySnapshot(4, [createVmEntry('waco-2', 3)]);
    expect(view()).to.deep.equal(['waco-2']);
    expect(computations).to.equal(3);
  });

  it('saves the witness selector from reading the VM list at each update', async () => {
    let reads = 0;
    const countingConfiguration = {
      ...configuration,
      list: (kind: Parameters<typeof configuration.list>[0]) => {
        reads += 1;
        return configuration.list(kind);
      },
    } as ConfigurationState;
    const record = { term: 1, groups: [['waco-1']] };
    const selector = createWitnessSelector({
      vm: 'waco-2',
      dataCentre: 'waco',
      incarnation: 1,
      leaseMs: 3_000,
      configuration: countingConfiguration,
      records: {
        read: async () => undefined,
        write: async () => true,
        mayBeIncomplete: () => false,
      },
      lease: {
        record: () => record,
        setRecord: () => {},
        renew: () => {},
        currentGeneration: () => 1,
        hasBeenValid: () => true,
        isRenewedBy: () => true,
      },
      nowMs: () => 0,
    });
    const resources = { isIdle: () => true, handOver: async () => {} };
    for (let update = 0; update < 10; update += 1) await selector.update(resources);
    expect(reads).to.equal(1);
  });
});

import {
  createConfigurationState,
  createVmLease,
  documentKinds,
  toHistoryPosition,
  type QuotaRecord,
} from '@auburngrade/coordination';
import type { ConditionalWrite, ConfigurationStore } from '@auburngrade/platform';
import { expect } from 'chai';
import createQuotaRecordWriter from './createQuotaRecordWriter';
import createQuotaState from './createQuotaState';

const NAME = 'account/ranch';
const KEY = documentKinds.share.prefix + NAME;

/** Claims a quota on a store in an era whose record has an epoch; resolves with the epoch written. */
const claimEpoch = async (era: number, recordedEpoch?: number): Promise<number | undefined> => {
  const written: QuotaRecord[] = [];
  const configuration = createConfigurationState();
  const record: QuotaRecord = {
    epoch: recordedEpoch ?? 0,
    keeper: 'waco-1',
    incarnation: 1,
    holders: ['waco-1'],
    former: [],
  };
  const revision = toHistoryPosition(era, 5);
  const entry = { key: KEY, valueJson: JSON.stringify(record), modRevision: revision };
  configuration.applySnapshot(revision, recordedEpoch === undefined ? [] : [entry]);
  const platform = {
    compareAndSwap: async ([write]: ConditionalWrite[]) => {
      written.push(JSON.parse(write?.valueJson ?? '{}') as QuotaRecord);
      return { kind: 'applied' as const, revision: toHistoryPosition(era, 6) };
    },
  } as Partial<ConfigurationStore> as ConfigurationStore;
  const writer = createQuotaRecordWriter({
    vm: 'waco-2',
    incarnation: 2,
    configuration,
    platform,
    lease: { ...createVmLease(3_000), currentGeneration: () => 1 },
    timeoutMs: 100,
    nowMs: () => 1_000,
    logger: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
  });
  await writer.claim(createQuotaState(NAME, { ratePerS: 1, burst: 1 }));
  return written[0]?.epoch;
};

describe('createQuotaRecordWriter', () => {
  it('claims a quota without a record in epoch 1, in which the whole burst is unspent', async () => {
    expect(await claimEpoch(1)).to.equal(1);
  });

  it('claims a quota in an epoch above those that a restored store has lost', async () => {
    const lastOfEarlierEra = (await claimEpoch(1, (await claimEpoch(1, 1)) ?? 0)) ?? 0;
    expect(await claimEpoch(2, 1)).to.be.above(lastOfEarlierEra);
  });
});

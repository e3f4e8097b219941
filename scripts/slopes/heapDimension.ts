import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import {
  createConfigurationState,
  documentKinds,
  buildStoredValue,
  type ConfigurationEntry,
} from '@auburngrade/coordination';
import type Dimension from './dimension';

const PAGE = 1_000;
const BYTES_PER_MB = 1024 * 1024;
const CHANGES_BEFORE = 16;

const collectGarbage = (): void => {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
};

const member = (group: number, index: number) => ({
  name: `group-${group}-m${index}`,
  dataCentre: 'tx-central-waco',
  host: `10.20.${index}.${group % 250}`,
  port: 5_432,
  replicationPort: 5_433,
});

/** A value as operators leave it at the platform, after several changes. */
const writtenValue = (document: unknown): string => {
  let valueJson: string | undefined;
  for (let change = 0; change < CHANGES_BEFORE; change += 1) {
    valueJson = buildStoredValue(document, crypto.randomUUID(), valueJson);
  }
  return valueJson ?? '';
};

/** A group, its term and its slots in turn, in the proportions of the size of two years out. */
const entryAt = (index: number): ConfigurationEntry => {
  const group = Math.floor(index / 3);
  const kind = (['group', 'term', 'slots'] as const)[index % 3] ?? 'group';
  const values = {
    group: () =>
      writtenValue({
        connectionBudget: 20,
        members: [1, 2, 3].map((number) => member(group, number)),
      }),
    term: () =>
      JSON.stringify({
        term: 3,
        state: 'active',
        primary: `group-${group}-m1`,
        promoter: 'tx-central-waco-17/1764830000000',
        voters: [1, 2, 3].map((number) => `group-${group}-m${number}`),
        history: [1, 2, 3].map((term) => ({ term, startPosition: term * 1_000 })),
      }),
    slots: () =>
      JSON.stringify({
        holders: [1, 2, 3].map((number) => ({ vm: `tx-central-waco-${number}`, epoch: 2 })),
      }),
  };
  const key = `${documentKinds[kind].prefix}group-${group}`;
  return { key, valueJson: values[kind](), modRevision: index + 1 };
};

/** Memory of the documents that a VM knows and does not use; measured in this process. */
const heapDimension: Dimension = {
  name: 'heap',
  unit: 'document',
  sizes: [3_000, 30_000, 117_300],
  measure: async (documents) => {
    collectGarbage();
    const beforeBytes = process.memoryUsage().heapUsed;
    const state = createConfigurationState();
    for (let start = 0; start < documents; start += PAGE) {
      const length = Math.min(PAGE, documents - start);
      const entries = Array.from({ length }, (_, index) => entryAt(start + index));
      state.applyChanges(start + length, entries);
    }
    collectGarbage();
    const heapMb = (process.memoryUsage().heapUsed - beforeBytes) / BYTES_PER_MB;
    return { heapMb, revision: state.revision() };
  },
};

export default heapDimension;

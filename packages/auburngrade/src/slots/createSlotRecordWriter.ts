import {
  documentKinds,
  withSlotHolder,
  type ConfigurationState,
  type SlotsRecord,
} from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';

type SlotHolder = SlotsRecord['holders'][number];

/** Creates the writer of slots records; applies the store's answers to the configuration. */
const createSlotRecordWriter = (
  platform: ConfigurationStore,
  configuration: ConfigurationState,
  timeoutMs: number,
) => {
  const buildPut = (group: string, slot: number, holder: SlotHolder) => {
    const record = withSlotHolder(configuration.get('slots', group), slot, holder);
    return {
      key: documentKinds.slots.prefix + group,
      valueJson: JSON.stringify(record),
      expectedRevision: configuration.getDocumentRevision('slots', group) ?? 0,
    };
  };

  return {
    /**
     * Sets the holder of a slot if the record has not changed since this VM read it. Resolves
     * with the write's revision; undefined when it was not written or its outcome is unknown.
     */
    write: async (group: string, slot: number, holder: SlotHolder): Promise<number | undefined> => {
      const put = buildPut(group, slot, holder);
      const outcome = await platform.compareAndSwap([put], timeoutMs);
      if (outcome.kind === 'conflict') configuration.applyChanges(0, outcome.current);
      if (outcome.kind !== 'applied') return undefined;
      const { revision } = outcome;
      configuration.applyChanges(0, [
        { key: put.key, valueJson: put.valueJson, modRevision: revision },
      ]);
      return revision;
    },
  };
};

export default createSlotRecordWriter;

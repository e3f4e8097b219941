import {
  documentKinds,
  withHolder,
  type ConfigurationState,
  type SlotsRecord,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';

type SlotHolder = SlotsRecord['holders'][number];

/** Writes records of slots; what the platform answers is taken into the configuration at once. */
const createSlotWriter = (
  platform: Platform,
  configuration: ConfigurationState,
  timeoutMs: number,
) => {
  const putOf = (group: string, slot: number, holder: SlotHolder) => {
    const record = withHolder(configuration.get('slots', group), slot, holder);
    return {
      key: documentKinds.slots.prefix + group,
      valueJson: JSON.stringify(record),
      expectedRevision: configuration.revisionOf('slots', group) ?? 0,
    };
  };

  return {
    /**
     * Sets the holder of a slot while the record is the one that this VM knows. Resolves with
     * the write's revision; undefined: not written, or not known, and the record will tell.
     */
    write: async (group: string, slot: number, holder: SlotHolder): Promise<number | undefined> => {
      const put = putOf(group, slot, holder);
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

export default createSlotWriter;

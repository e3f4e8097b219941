import { toHistoryPosition, type ConfigurationEntry } from '@auburngrade/coordination';
import type { KeyValue } from './generated/mvccpb/kv';
import readStamp from './readStamp';

/**
 * Converts a key-value pair of the etcd API, read in an era of the store, to a configuration entry. Its
 * position is in the era in which it was written; what others write states none and counts as of now.
 */
const toEntry = (keyValue: KeyValue, readInEra: number): ConfigurationEntry => {
  const { era = readInEra, valueJson } = readStamp(keyValue.value.toString('utf8'));
  return {
    key: keyValue.key.toString('utf8'),
    valueJson,
    modRevision: toHistoryPosition(era, keyValue.modRevision),
  };
};

export default toEntry;

import type { ConfigurationEntry } from '@auburngrade/coordination';
import type { KeyValue } from './generated/mvccpb/kv';

/** Converts a key-value pair of the etcd API to a configuration entry. */
const toEntry = (keyValue: KeyValue): ConfigurationEntry => ({
  key: keyValue.key.toString('utf8'),
  valueJson: keyValue.value.toString('utf8'),
  modRevision: keyValue.modRevision,
});

export default toEntry;

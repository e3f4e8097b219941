import type EventLog from '../seams/eventLog';
import type StoredItem from '../seams/storedItem';
import storeKeys from './storeKeys';
import type VmRegistration from './vmRegistration';

/** Parses the registration of a VM; undefined for another key, or for text that is no registration. */
const parseRegistration = (
  { key, value }: Pick<StoredItem, 'key' | 'value'>,
  log: EventLog,
): [vm: string, registration: VmRegistration] | undefined => {
  if (!key.startsWith(storeKeys.vmPrefix)) return undefined;
  try {
    const { address, dataCentre, incarnation } = JSON.parse(value) as Record<string, unknown>;
    if (
      typeof address !== 'string' ||
      typeof dataCentre !== 'string' ||
      typeof incarnation !== 'string'
    ) {
      throw new Error('a field is missing or no text');
    }
    return [key.slice(storeKeys.vmPrefix.length), { address, dataCentre, incarnation }];
  } catch (error) {
    log.warn('vm.unreadable', { key, reason: String(error) });
    return undefined;
  }
};

export default parseRegistration;

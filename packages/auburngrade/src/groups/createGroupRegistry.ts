import { notRun, type ConfigurationState } from '@auburngrade/coordination';
import type AddressBook from '../settings/addressBook';
import createGroupHolder from './createGroupHolder';
import type GroupHolder from './groupHolder';
import type PoolSettings from './poolSettings';

/** Creates group holders on first use and replaces them when the group's document changes. */
const createGroupRegistry = (
  configuration: ConfigurationState,
  vm: string,
  addresses: AddressBook,
  nowMs: () => number,
  poolSettings?: PoolSettings,
) => {
  const holders = new Map<string, GroupHolder>();

  const release = (name: string): void => {
    holders.get(name)?.close();
    holders.delete(name);
  };

  /** @throws RefusalError `unknownGroup`. */
  const get = (name: string): GroupHolder => {
    const group = configuration.get('group', name);
    if (!group) throw notRun('unknownGroup', `no group ${name}`);
    const existing = holders.get(name);
    if (existing && existing.group === group) return existing;
    existing?.close();
    const created = createGroupHolder(
      name,
      group,
      configuration,
      vm,
      addresses,
      nowMs,
      poolSettings,
    );
    holders.set(name, created);
    return created;
  };

  return {
    get,
    release,
    held: (): GroupHolder[] => [...holders.values()],
    close: (): void => [...holders.keys()].forEach(release),
  };
};

export default createGroupRegistry;

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
  poolSettings: PoolSettings | undefined,
  mayHold: (group: string) => boolean,
) => {
  const holders = new Map<string, GroupHolder>();

  /** Holders that finish what runs on them; a group may have several. */
  const retiring = new Map<string, Set<GroupHolder>>();

  /** Ends a group's holders; connections in use go when given back, or after `cutAfterMs`. */
  const release = (name: string, cutAfterMs?: number): void => {
    holders.get(name)?.close(cutAfterMs);
    retiring.get(name)?.forEach((holder) => holder.close(cutAfterMs));
    holders.delete(name);
  };

  /** Ends a group's holder once what runs on it has ended, or `cutAfterMs` has passed. */
  const retire = async (name: string, cutAfterMs: number): Promise<void> => {
    const holder = holders.get(name);
    const ending = retiring.get(name) ?? new Set();
    retiring.set(name, ending);
    holders.delete(name);
    if (holder) ending.add(holder);
    await Promise.all([...ending].map((one) => one.retire(cutAfterMs)));
    if (holder) ending.delete(holder);
    if (ending.size === 0) retiring.delete(name);
  };

  /** @throws RefusalError `unknownGroup`, or `noConnection` while this VM holds no slot of it. */
  const get = (name: string): GroupHolder => {
    const group = configuration.get('group', name);
    if (!group) throw notRun('unknownGroup', `no group ${name}`);
    if (!mayHold(name)) throw notRun('noConnection', `this VM holds no slot of ${name}`);
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
      () => mayHold(name) || retiring.has(name),
    );
    holders.set(name, created);
    return created;
  };

  return {
    get,
    /** Whether this VM may have connections to a group now. */
    mayHold,
    release,
    retire,
    held: (): GroupHolder[] => [...holders.values()],
    close: (): void => [...holders.keys()].forEach((name) => release(name)),
  };
};

export default createGroupRegistry;

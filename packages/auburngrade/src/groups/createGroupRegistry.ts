import { notRun, type ConfigurationState } from '@auburngrade/coordination';
import type AddressBook from '../settings/addressBook';
import createGroupHolder from './createGroupHolder';
import type GroupHolder from './groupHolder';
import type PoolSettings from './poolSettings';

/** What runs on members that the group's new document does not have may go on for this long. */
const REPLACED_CUT_MS = 3_000;

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

  const end = async (name: string, holder: GroupHolder, cutAfterMs: number): Promise<void> => {
    const ending = retiring.get(name) ?? new Set();
    retiring.set(name, ending.add(holder));
    await holder.retire(cutAfterMs);
    ending.delete(holder);
    if (ending.size === 0) retiring.delete(name);
  };

  /** Ends a group's holders once what runs on them has ended, or `cutAfterMs` has passed. */
  const retire = async (name: string, cutAfterMs: number): Promise<void> => {
    const holder = holders.get(name);
    holders.delete(name);
    const ending = [...(retiring.get(name) ?? [])];
    if (holder) ending.push(holder);
    await Promise.all(ending.map((one) => end(name, one, cutAfterMs)));
  };

  /** @throws RefusalError `unknownGroup`, or `noConnection` while this VM holds no slot of it. */
  const get = (name: string): GroupHolder => {
    const group = configuration.get('group', name);
    if (!group) throw notRun('unknownGroup', `no group ${name}`);
    if (!mayHold(name)) throw notRun('noConnection', `this VM holds no slot of ${name}`);
    const existing = holders.get(name);
    if (existing && existing.group === group) return existing;
    const created = createGroupHolder(
      name,
      group,
      configuration,
      vm,
      addresses,
      nowMs,
      poolSettings,
      () => mayHold(name) || retiring.has(name),
      (member) => existing?.handOver(member, group),
    );
    if (existing) end(name, existing, REPLACED_CUT_MS);
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

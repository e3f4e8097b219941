import {
  chooseHolders,
  hashText,
  slotTimings,
  type ConfigurationState,
  type SlotsRecord,
  type Vm,
} from '@auburngrade/coordination';

interface ListedVm extends Vm {
  id: string;
}

interface MembershipOptions {
  vm: string;
  configuration: ConfigurationState;
  /** Whether this VM may use its slot of a group now. */
  isOwnSlotUsable(group: string): boolean;
  nowMs(): number;
}

type SlotHolder = NonNullable<SlotsRecord['holders'][number]>;

const VM_PREFIX = '/platform/vms/';
const GROUP_PREFIX = '/auburngrade/group/';
const SLOTS_PREFIX = '/auburngrade/slots/';

const nameOf = (group: string, { vm, incarnation }: SlotHolder): string =>
  `${group}/${vm}/${incarnation}`;

/**
 * Which VMs are live by the platform's list, which of them should hold a group's connections
 * by the list, and which hold them by the record of slots.
 */
const createMembership = ({ vm, configuration, isOwnSlotUsable, nowMs }: MembershipOptions) => {
  const chosenByGroup = new Map<string, string[]>();
  /** When holders that took a slot over were first seen: for a while they only wait. */
  const seenAtMs = new Map<string, number>();
  let listed: ListedVm[] | undefined;
  let hashes: Map<string, { id: string; hash: number }[]> | undefined;

  const noteTakenOver = (group: string): void =>
    configuration.get('slots', group)?.holders.forEach((holder) => {
      if (!holder?.isTakenOver || seenAtMs.has(nameOf(group, holder))) return;
      const name = nameOf(group, holder);
      seenAtMs.set(name, nowMs());
      setTimeout(() => seenAtMs.delete(name), slotTimings.takeOverMs).unref();
    });

  configuration.onChange((changed) => {
    if (changed.some(({ key }) => key.startsWith(VM_PREFIX))) {
      listed = undefined;
      hashes = undefined;
      chosenByGroup.clear();
    }
    changed
      .filter(({ key }) => key.startsWith(GROUP_PREFIX))
      .forEach(({ key }) => chosenByGroup.delete(key.slice(GROUP_PREFIX.length)));
    changed
      .filter(({ key }) => key.startsWith(SLOTS_PREFIX))
      .forEach(({ key }) => noteTakenOver(key.slice(SLOTS_PREFIX.length)));
  });

  const isWaiting = (group: string, holder: SlotHolder): boolean =>
    holder.isTakenOver &&
    nowMs() - (seenAtMs.get(nameOf(group, holder)) ?? Number.NEGATIVE_INFINITY) <
      slotTimings.takeOverMs;

  const live = (): ListedVm[] => {
    listed ??= [...configuration.list('vm')]
      .filter(([, { state }]) => state === 'live')
      .map(([id, listedVm]) => ({ id, ...listedVm }));
    return listed;
  };

  const hashesByDataCentre = () => {
    hashes ??= live().reduce((found, { id, dataCentre }) => {
      const vms = found.get(dataCentre) ?? [];
      vms.push({ id, hash: hashText(id) });
      return found.set(dataCentre, vms);
    }, new Map<string, { id: string; hash: number }[]>());
    return hashes;
  };

  const choose = (group: string): string[] => {
    const document = configuration.get('group', group);
    if (!document) return [];
    const near = document.members
      .filter(({ state }) => state === 'active')
      .map(({ dataCentre }) => dataCentre);
    return chooseHolders(hashesByDataCentre(), group, near, document.slots);
  };

  /** VMs that should hold the group's slots by the list as this VM knows it. */
  const chosen = (group: string): string[] => {
    const known = chosenByGroup.get(group) ?? choose(group);
    chosenByGroup.set(group, known);
    return known;
  };

  /** VMs that hold the group's connections by the record, in the order of their slots. */
  const holders = (group: string): ListedVm[] => {
    const record = configuration.get('slots', group);
    const recorded = (record?.holders ?? []).flatMap((holder) => {
      const entry = holder && configuration.get('vm', holder.vm);
      return entry ? [{ holder, listedVm: { id: holder.vm, ...entry } }] : [];
    });
    const usable = recorded.filter(({ holder }) => holder.vm !== vm || isOwnSlotUsable(group));
    const ready = usable.filter(({ holder }) => holder.vm === vm || !isWaiting(group, holder));
    return (ready.length > 0 ? ready : usable).map(({ listedVm }) => listedVm);
  };

  return {
    live,
    chosen,
    holders,
    isListed: (id: string): boolean => configuration.get('vm', id) !== undefined,
  };
};

export default createMembership;

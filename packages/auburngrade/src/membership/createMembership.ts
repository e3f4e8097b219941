import {
  chooseHolders,
  documentKinds,
  hashText,
  mayBeChosen,
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

interface PlacedVm {
  id: string;
  dataCentre: string;
  hash: number;
}

/** Which VMs should hold a group's slots, and what decided it. */
type Choice = Omit<Parameters<typeof mayBeChosen>[1], 'chosen'> & { chosen: PlacedVm[] };

type SlotHolder = NonNullable<SlotsRecord['holders'][number]>;

/** With more VMs changed at a time all choices are made again. */
const MAX_CHANGED_VMS = 100;
const NO_CHOICE: Choice = { groupHash: 0, near: [], slots: 0, chosen: [] };

const nameOf = (group: string, { vm, incarnation }: SlotHolder): string =>
  `${group}/${vm}/${incarnation}`;

/**
 * Which VMs are live by the platform's list, which of them should hold a group's connections
 * by the list, and which hold them by the record of slots.
 */
const createMembership = ({ vm, configuration, isOwnSlotUsable, nowMs }: MembershipOptions) => {
  const choices = new Map<string, Choice>();
  /** When holders that took a slot over were first seen: for a while they only wait. */
  const seenAtMs = new Map<string, number>();
  let listed: ListedVm[] | undefined;
  let placed = new Map<string, PlacedVm>();
  let byDataCentre: Map<string, PlacedVm[]> | undefined;
  const nearByKey = new Map<string, string[]>();

  const noteTakenOver = (group: string): void =>
    configuration.get('slots', group)?.holders.forEach((holder) => {
      if (!holder?.isTakenOver || seenAtMs.has(nameOf(group, holder))) return;
      const name = nameOf(group, holder);
      seenAtMs.set(name, nowMs());
      setTimeout(() => seenAtMs.delete(name), slotTimings.takeOverMs).unref();
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

  /** One object for each VM that all choices share, as there are many choices. */
  const placeVms = (): void => {
    const known = placed;
    placed = new Map(
      live().map(({ id, dataCentre }) => {
        const before = known.get(id);
        const isSame = before?.dataCentre === dataCentre;
        return [id, isSame ? before : { id, dataCentre, hash: hashText(id) }];
      }),
    );
    byDataCentre = new Map();
    placed.forEach((vmPlaced) => {
      const vms = byDataCentre?.get(vmPlaced.dataCentre) ?? [];
      vms.push(vmPlaced);
      byDataCentre?.set(vmPlaced.dataCentre, vms);
    });
  };

  const vmsByDataCentre = (): ReadonlyMap<string, PlacedVm[]> => {
    if (!byDataCentre) placeVms();
    return byDataCentre ?? new Map();
  };

  /** Forgets the choices that a change of the list may have changed. */
  const followList = (): void => {
    const before = placed;
    listed = undefined;
    placeVms();
    const joined = [...placed.values()].filter((one) => before.get(one.id) !== one);
    const left = new Set([...before.values()].filter((one) => placed.get(one.id) !== one));
    if (joined.length + left.size > MAX_CHANGED_VMS) choices.clear();
    choices.forEach((choice, group) => {
      const isTouched =
        choice.chosen.some((one) => left.has(one)) ||
        joined.some((joining) => mayBeChosen(joining, choice));
      if (isTouched) choices.delete(group);
    });
  };

  configuration.onChange((changed) => {
    if (changed.some(({ key }) => key.startsWith(documentKinds.vm.prefix))) followList();
    changed
      .filter(({ key }) => key.startsWith(documentKinds.group.prefix))
      .forEach(({ key }) => choices.delete(key.slice(documentKinds.group.prefix.length)));
    changed
      .filter(({ key }) => key.startsWith(documentKinds.slots.prefix))
      .forEach(({ key }) => noteTakenOver(key.slice(documentKinds.slots.prefix.length)));
  });

  /** Lists of data centres are shared between choices, too. */
  const shared = (near: string[]): string[] => {
    const key = near.join();
    const known = nearByKey.get(key) ?? near;
    nearByKey.set(key, known);
    return known;
  };

  const choose = (group: string): Choice => {
    const document = configuration.get('group', group);
    if (!document) return NO_CHOICE;
    const { members, slots } = document;
    const active = members.filter(({ state }) => state === 'active');
    const near = shared(active.map(({ dataCentre }) => dataCentre));
    const ids = chooseHolders(vmsByDataCentre(), group, near, slots);
    // A copy has no room for more, which lists that have grown have.
    const chosenVms = ids.flatMap((id) => placed.get(id) ?? []).slice();
    return { groupHash: hashText(group), near, slots, chosen: chosenVms };
  };

  /** VMs that should hold the group's slots by the list as this VM knows it. */
  const chosen = (group: string): string[] => {
    const known = choices.get(group) ?? choose(group);
    choices.set(group, known);
    return known.chosen.map(({ id }) => id);
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

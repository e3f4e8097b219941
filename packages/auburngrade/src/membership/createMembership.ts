import {
  chooseSlotHolders,
  documentKinds,
  hashText,
  canBecomeSlotHolder,
  slotTimings,
  type ConfigurationState,
  type SlotsRecord,
  type Vm,
} from '@auburngrade/coordination';

interface RegisteredVm extends Vm {
  id: string;
}

interface MembershipOptions {
  vm: string;
  configuration: ConfigurationState;
  /** Whether this VM may use its own slot of a group now. */
  isOwnSlotUsable(group: string): boolean;
  nowMs(): number;
}

interface PlacedVm {
  id: string;
  dataCentre: string;
  hash: number;
}

/** The VMs that should hold a group's slots, with the inputs of that choice. */
type Choice = Omit<Parameters<typeof canBecomeSlotHolder>[1], 'chosen'> & { chosen: PlacedVm[] };

type SlotHolder = NonNullable<SlotsRecord['holders'][number]>;

/** When more VMs change at once, all cached choices are discarded. */
const MAX_CHANGED_VMS = 100;
const NO_CHOICE: Choice = { groupHash: 0, memberDataCentres: [], slots: 0, chosen: [] };

const formatHolderKey = (group: string, { vm, incarnation }: SlotHolder): string =>
  `${group}/${vm}/${incarnation}`;

/**
 * Creates this VM's view of the fleet: the registered VMs that are live, the VMs that should
 * hold a group's slots by that list, and the VMs that hold them by the slots record.
 */
const createMembership = ({ vm, configuration, isOwnSlotUsable, nowMs }: MembershipOptions) => {
  const choices = new Map<string, Choice>();
  /** When each takeover of a slot was first seen; the new holder must wait before it uses the slot. */
  const takeoverSeenAtMs = new Map<string, number>();
  let liveVms: RegisteredVm[] | undefined;
  let placedVms = new Map<string, PlacedVm>();
  let placedByDataCentre: Map<string, PlacedVm[]> | undefined;
  const internedDataCentres = new Map<string, string[]>();

  const trackTakeovers = (group: string): void =>
    configuration.get('slots', group)?.holders.forEach((holder) => {
      if (!holder?.isTakenOver || takeoverSeenAtMs.has(formatHolderKey(group, holder))) return;
      const holderKey = formatHolderKey(group, holder);
      takeoverSeenAtMs.set(holderKey, nowMs());
      setTimeout(() => takeoverSeenAtMs.delete(holderKey), slotTimings.takeOverMs).unref();
    });

  const isTakeoverPending = (group: string, holder: SlotHolder): boolean =>
    holder.isTakenOver &&
    nowMs() - (takeoverSeenAtMs.get(formatHolderKey(group, holder)) ?? Number.NEGATIVE_INFINITY) <
      slotTimings.takeOverMs;

  const live = (): RegisteredVm[] => {
    liveVms ??= [...configuration.list('vm')]
      .filter(([, { state }]) => state === 'live')
      .map(([id, registeredVm]) => ({ id, ...registeredVm }));
    return liveVms;
  };

  /** Keeps one object per VM, shared by all choices to save memory. */
  const updatePlacedVms = (): void => {
    const previousVms = placedVms;
    placedVms = new Map(
      live().map(({ id, dataCentre }) => {
        const previousVm = previousVms.get(id);
        const isUnchanged = previousVm?.dataCentre === dataCentre;
        return [id, isUnchanged ? previousVm : { id, dataCentre, hash: hashText(id) }];
      }),
    );
    placedByDataCentre = new Map();
    placedVms.forEach((placedVm) => {
      const sameDataCentreVms = placedByDataCentre?.get(placedVm.dataCentre) ?? [];
      sameDataCentreVms.push(placedVm);
      placedByDataCentre?.set(placedVm.dataCentre, sameDataCentreVms);
    });
  };

  const listPlacedByDataCentre = (): ReadonlyMap<string, PlacedVm[]> => {
    if (!placedByDataCentre) updatePlacedVms();
    return placedByDataCentre ?? new Map();
  };

  /** Discards the cached choices that a change of the VM list may affect. */
  const invalidateChoices = (): void => {
    const previousVms = placedVms;
    liveVms = undefined;
    updatePlacedVms();
    const joinedVms = [...placedVms.values()].filter(
      (placedVm) => previousVms.get(placedVm.id) !== placedVm,
    );
    const leftVms = new Set(
      [...previousVms.values()].filter((placedVm) => placedVms.get(placedVm.id) !== placedVm),
    );
    if (joinedVms.length + leftVms.size > MAX_CHANGED_VMS) choices.clear();
    choices.forEach((choice, group) => {
      const isAffected =
        choice.chosen.some((placedVm) => leftVms.has(placedVm)) ||
        joinedVms.some((joinedVm) => canBecomeSlotHolder(joinedVm, choice));
      if (isAffected) choices.delete(group);
    });
  };

  configuration.onChange((changed) => {
    if (changed.some(({ key }) => key.startsWith(documentKinds.vm.prefix))) invalidateChoices();
    changed
      .filter(({ key }) => key.startsWith(documentKinds.group.prefix))
      .forEach(({ key }) => choices.delete(key.slice(documentKinds.group.prefix.length)));
    changed
      .filter(({ key }) => key.startsWith(documentKinds.slots.prefix))
      .forEach(({ key }) => trackTakeovers(key.slice(documentKinds.slots.prefix.length)));
  });

  /** Shares equal lists of data centres between choices to save memory. */
  const internDataCentres = (dataCentres: string[]): string[] => {
    const key = dataCentres.join();
    const interned = internedDataCentres.get(key) ?? dataCentres;
    internedDataCentres.set(key, interned);
    return interned;
  };

  const computeChoice = (group: string): Choice => {
    const document = configuration.get('group', group);
    if (!document) return NO_CHOICE;
    const { members, slots } = document;
    const activeMembers = members.filter(({ state }) => state === 'active');
    const memberDataCentres = internDataCentres(activeMembers.map(({ dataCentre }) => dataCentre));
    const ids = chooseSlotHolders(listPlacedByDataCentre(), group, memberDataCentres, slots);
    // The copy drops the spare capacity of an array that has grown.
    const chosenVms = ids.flatMap((id) => placedVms.get(id) ?? []).slice();
    return {
      groupHash: hashText(group),
      memberDataCentres,
      slots,
      chosen: chosenVms,
    };
  };

  /** VMs that should hold the group's slots by the VM list that this VM knows. */
  const findChosenVms = (group: string): string[] => {
    const choice = choices.get(group) ?? computeChoice(group);
    choices.set(group, choice);
    return choice.chosen.map(({ id }) => id);
  };

  /** VMs recorded as holders, in slot order; pending takeovers only if there are no others. */
  const holders = (group: string): RegisteredVm[] => {
    const record = configuration.get('slots', group);
    const recordedHolders = (record?.holders ?? []).flatMap((holder) => {
      const entry = holder && configuration.get('vm', holder.vm);
      return entry ? [{ holder, registeredVm: { id: holder.vm, ...entry } }] : [];
    });
    const usableHolders = recordedHolders.filter(
      ({ holder }) => holder.vm !== vm || isOwnSlotUsable(group),
    );
    const readyHolders = usableHolders.filter(
      ({ holder }) => holder.vm === vm || !isTakeoverPending(group, holder),
    );
    return (readyHolders.length > 0 ? readyHolders : usableHolders).map(
      ({ registeredVm }) => registeredVm,
    );
  };

  return {
    live,
    findChosenVms,
    holders,
    isRegisteredVm: (id: string): boolean => configuration.get('vm', id) !== undefined,
  };
};

export default createMembership;

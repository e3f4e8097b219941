import { chooseOwner, countGroupsByDataCentre, type VmView } from '@auburngrade/coordination';
import type Fleet from './fleet';

/** Surplus of groups over the least loaded VM or data centre from which a group is handed over. */
const REBALANCE_SURPLUS_GROUPS = 2;
/** A misplaced group moves only after this time, since its primary or other owners may change again. */
const MISPLACED_AFTER_MS = 2_000;
/** Minimum interval between handovers by a VM that is short of processor time, or in an evacuated data centre. */
const HANDOVER_INTERVAL_MS = 700;

interface GroupRebalancingOptions {
  self: { vm: string; dataCentre: string };
  fleet: Pick<Fleet, 'vms' | 'isStrained'>;
  nowMs(): number;
  primaryDataCentre(group: string): string | undefined;
  /** Whether the group's primary is in an evacuated data centre and is to be replaced by one elsewhere. */
  isPrimaryToBeMoved(group: string): boolean;
  /** Whether this VM is replacing the group's primary. */
  isReplacingPrimary(group: string): boolean;
}

/** Decides which of its groups a VM hands over to another one, one at a time. */
const createGroupRebalancing = (options: GroupRebalancingOptions) => {
  const { self, fleet, nowMs } = options;
  let lastHandoverAtMs = Number.NEGATIVE_INFINITY;
  /** Since when each owned group should belong to another data centre. */
  const misplacedSinceMs = new Map<string, number>();

  /**
   * Finds an owned group that another data centre should own. A partition of this data centre would take away
   * its owner and its primary at once, or the owners of too many groups.
   */
  const findMisplacedGroup = (
    ownedGroups: readonly string[],
    counts: ReadonlyMap<string, number>,
    eligibleVms: readonly VmView[],
  ): string | undefined => {
    const now = nowMs();
    const countByCentre = countGroupsByDataCentre(fleet.vms(), counts);
    const countInDataCentre = (dataCentre: string): number => countByCentre.get(dataCentre) ?? 0;
    const isPrimaryInOwnDataCentre = (group: string): boolean =>
      options.primaryDataCentre(group) === self.dataCentre;
    const findSuccessor = (group: string): VmView | undefined => {
      const vm = chooseOwner(group, eligibleVms, counts, options.primaryDataCentre(group));
      const view = eligibleVms.find((entry) => entry.vm === vm);
      const isElsewhere = view !== undefined && view.dataCentre !== self.dataCentre;
      return isElsewhere && (counts.get(view.vm) ?? 0) < ownedGroups.length ? view : undefined;
    };
    const misplacedGroups = ownedGroups.filter((group) => {
      const successor = findSuccessor(group);
      if (!successor) return false;
      const surplus = countInDataCentre(self.dataCentre) - countInDataCentre(successor.dataCentre);
      return isPrimaryInOwnDataCentre(group) || surplus >= REBALANCE_SURPLUS_GROUPS;
    });
    [...misplacedSinceMs.keys()]
      .filter((group) => !misplacedGroups.includes(group))
      .forEach((group) => misplacedSinceMs.delete(group));
    misplacedGroups
      .filter((group) => !misplacedSinceMs.has(group))
      .forEach((group) => misplacedSinceMs.set(group, now));
    return misplacedGroups.find(
      (group) => now - (misplacedSinceMs.get(group) ?? now) >= MISPLACED_AFTER_MS,
    );
  };

  /** Finds a group that this VM, in an evacuated data centre, can leave to a VM elsewhere: its primary moves first. */
  const findEvacuatedGroup = (
    ownedGroups: readonly string[],
    eligibleVms: readonly VmView[],
  ): string | undefined => {
    const isDue = nowMs() - lastHandoverAtMs > HANDOVER_INTERVAL_MS;
    const hasSuccessor = eligibleVms.some((view) => !view.isInEvacuatedDataCentre);
    return isDue && hasSuccessor
      ? ownedGroups.find((group) => !options.isPrimaryToBeMoved(group))
      : undefined;
  };

  // The next owner of a group does not wait for a call that promotes its primary.
  const mayHandOver = (group: string): boolean => !options.isReplacingPrimary(group);

  /** Finds the group to hand over by a VM that is not in an evacuated data centre. */
  const findDueGroup = (
    ownedGroups: readonly string[],
    counts: ReadonlyMap<string, number>,
    eligibleVms: readonly VmView[],
  ): string | undefined => {
    const leastOwned = Math.min(...eligibleVms.map(({ vm }) => counts.get(vm) ?? 0));
    const isDue = fleet.isStrained()
      ? eligibleVms.length > 0 && nowMs() - lastHandoverAtMs > HANDOVER_INTERVAL_MS
      : ownedGroups.length - leastOwned >= REBALANCE_SURPLUS_GROUPS;
    return isDue
      ? ownedGroups.find(mayHandOver)
      : findMisplacedGroup(ownedGroups, counts, eligibleVms);
  };

  return {
    /**
     * Finds a group to hand over, if this VM is in an evacuated data centre, is strained, owns too many groups or owns
     * a misplaced one.
     * @param counts Number of groups that each VM owns.
     */
    findGroupToHandOver: (
      ownedGroups: readonly string[],
      counts: ReadonlyMap<string, number>,
    ): string | undefined => {
      const vms = fleet.vms();
      const isSelfEvacuated = vms.some(
        ({ vm, isInEvacuatedDataCentre }) => vm === self.vm && isInEvacuatedDataCentre,
      );
      // A VM elsewhere hands no group to an evacuated data centre, whose VMs own none.
      const eligibleVms = vms
        .filter((view) => view.hasRecentHeartbeat && view.isSettled && !view.isLeaving)
        .filter((view) => view.isStoreReachable && !view.isStrained)
        .filter((view) => isSelfEvacuated || !view.isInEvacuatedDataCentre);
      const group = isSelfEvacuated
        ? findEvacuatedGroup(ownedGroups.filter(mayHandOver), eligibleVms)
        : findDueGroup(ownedGroups, counts, eligibleVms);
      return group !== undefined && mayHandOver(group) ? group : undefined;
    },
    /** Call when a handover starts. */
    noteHandover: (): void => {
      lastHandoverAtMs = nowMs();
    },
  };
};

export default createGroupRebalancing;

import isSlotUsable from './isSlotUsable';
import slotTimings from './slotTimings';

interface HeldSlot {
  /** Revision of the slots record that assigned the slot to this VM. */
  revision: number;
  /** Time from which the previous holder can no longer use the slot. */
  freeAtMs: number;
  isReleasing: boolean;
  isInUse: boolean;
}

interface SlotConditions {
  nowMs: number;
  /** Time at which this VM's configuration was last known to be complete. */
  completeAtMs: number;
  /** Whether the group exists and this VM serves it. */
  isServed: boolean;
}

interface UsageChange {
  /** Whether the slot became usable or stopped being usable. */
  isChanged: boolean;
  /** Whether the group's connections must be closed at once. */
  mustCloseConnections: boolean;
}

const NO_SLOT: HeldSlot = {
  revision: 0,
  freeAtMs: Number.POSITIVE_INFINITY,
  isReleasing: false,
  isInUse: false,
};

/** Tracks the slots that the stored records assign to this VM and when it may use them. */
const createHeldSlots = () => {
  const slots = new Map<string, HeldSlot>();
  const slotOf = (group: string): HeldSlot => slots.get(group) ?? NO_SLOT;

  const isWithinLease = ({ freeAtMs }: HeldSlot, conditions: SlotConditions): boolean =>
    conditions.isServed && isSlotUsable({ ...conditions, freeAtMs });

  const isUsable = (group: string, conditions: SlotConditions): boolean =>
    !slotOf(group).isReleasing && isWithinLease(slotOf(group), conditions);

  return {
    has: (group: string): boolean => slots.has(group),
    groupNames: (): string[] => [...slots.keys()],
    /** Groups whose slots were usable at the last refresh. */
    groupNamesInUse: (): string[] =>
      [...slots].filter(([, { isInUse }]) => isInUse).map(([group]) => group),
    isUsable,
    /** Adds a slot assigned to this VM; one taken over is unusable until the witnesses know it. */
    addSlot: (group: string, revision: number, isTakenOver: boolean, nowMs: number): void => {
      const freeAtMs = isTakenOver ? Number.POSITIVE_INFINITY : nowMs;
      slots.set(group, { ...NO_SLOT, revision, freeAtMs });
    },
    /** Removes the slot of a group; returns whether it was in use. */
    removeSlot: (group: string): boolean => {
      const { isInUse } = slotOf(group);
      slots.delete(group);
      return isInUse;
    },
    /** Whether this VM still holds the slot through that revision of the record. */
    isHeldAtRevision: (group: string, revision: number): boolean =>
      slots.has(group) && slotOf(group).revision === revision,
    /** Starts the take-over wait: witnesses know the revision and let the old lease expire. */
    startTakeOverWait: (group: string, revision: number, nowMs: number): void => {
      const slot = slots.get(group);
      if (slot?.revision === revision) slot.freeAtMs = nowMs + slotTimings.takeOverMs;
    },
    isReleasing: (group: string): boolean => slotOf(group).isReleasing,
    /** Stops using a slot permanently, whether or not the write that releases it succeeds. */
    startReleasing: (group: string): void => {
      const slot = slots.get(group);
      if (slot) Object.assign(slot, { isReleasing: true, isInUse: false });
    },
    /** Updates whether a slot is in use; connections of one being released end with the lease. */
    refresh: (group: string, conditions: SlotConditions): UsageChange => {
      const slot = slotOf(group);
      const isUsableNow = isUsable(group, conditions);
      const isChanged = isUsableNow !== slot.isInUse;
      const hasLeaseExpired = slot.isReleasing && !isWithinLease(slot, conditions);
      if (slots.has(group)) slot.isInUse = isUsableNow;
      return { isChanged, mustCloseConnections: hasLeaseExpired || (isChanged && !isUsableNow) };
    },
  };
};

export default createHeldSlots;

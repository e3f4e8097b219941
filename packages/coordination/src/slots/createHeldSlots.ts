import isSlotUsable from './isSlotUsable';
import slotTimings from './slotTimings';

interface HeldSlot {
  /** The revision of the record by which this VM got the slot. */
  revision: number;
  /** From when the slot's former holder can't use it any more. */
  freeAtMs: number;
  isClosing: boolean;
  isInUse: boolean;
}

interface Moment {
  nowMs: number;
  /** The configuration was complete at this time. */
  completeAtMs: number;
  /** Whether the group exists and this VM serves it. */
  isServed: boolean;
}

interface SlotChange {
  /** Whether the slot came into use, or is no longer in use. */
  isChanged: boolean;
  /** Whether the group's connections end at once. */
  isCut: boolean;
}

const UNKNOWN: HeldSlot = {
  revision: 0,
  freeAtMs: Number.POSITIVE_INFINITY,
  isClosing: false,
  isInUse: false,
};

/** The groups whose slots this VM has by the record, and when it may use them. */
const createHeldSlots = () => {
  const held = new Map<string, HeldSlot>();
  const slotOf = (group: string): HeldSlot => held.get(group) ?? UNKNOWN;

  const isInTime = ({ freeAtMs }: HeldSlot, moment: Moment): boolean =>
    moment.isServed && isSlotUsable({ ...moment, freeAtMs });

  const isUsable = (group: string, moment: Moment): boolean =>
    !slotOf(group).isClosing && isInTime(slotOf(group), moment);

  return {
    has: (group: string): boolean => held.has(group),
    names: (): string[] => [...held.keys()],
    /** Groups whose slots this VM uses as of the last refresh. */
    inUse: (): string[] => [...held].filter(([, { isInUse }]) => isInUse).map(([group]) => group),
    isUsable,
    /** Notes that this VM has a slot; one that was taken over is not free before it is announced. */
    take: (group: string, revision: number, isTakenOver: boolean, nowMs: number): void => {
      const freeAtMs = isTakenOver ? Number.POSITIVE_INFINITY : nowMs;
      held.set(group, { ...UNKNOWN, revision, freeAtMs });
    },
    /** Notes that this VM has no slot of the group; true when it was in use. */
    lose: (group: string): boolean => {
      const { isInUse } = slotOf(group);
      held.delete(group);
      return isInUse;
    },
    /** Whether the take-over by that revision is still the one that counts. */
    isHeldBy: (group: string, revision: number): boolean =>
      held.has(group) && slotOf(group).revision === revision,
    /** Notes that witnesses know of a take-over: whoever proves by them lapses from now on. */
    noteAnnounced: (group: string, revision: number, nowMs: number): void => {
      const slot = held.get(group);
      if (slot?.revision === revision) slot.freeAtMs = nowMs + slotTimings.takeOverMs;
    },
    isClosing: (group: string): boolean => slotOf(group).isClosing,
    /** Uses a slot no more, whatever becomes of the write that gives it back. */
    beginClosing: (group: string): void => {
      const slot = held.get(group);
      if (slot) Object.assign(slot, { isClosing: true, isInUse: false });
    },
    /** Brings the use of a slot in line; what runs while it is given back ends with the lease. */
    refresh: (group: string, moment: Moment): SlotChange => {
      const slot = slotOf(group);
      const isNow = isUsable(group, moment);
      const isChanged = isNow !== slot.isInUse;
      const isLapsed = slot.isClosing && !isInTime(slot, moment);
      if (held.has(group)) slot.isInUse = isNow;
      return { isChanged, isCut: isLapsed || (isChanged && !isNow) };
    },
  };
};

export default createHeldSlots;

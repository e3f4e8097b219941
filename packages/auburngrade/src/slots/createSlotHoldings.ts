import {
  isSlotUsable,
  ownSlot,
  slotTimings,
  type ConfigurationState,
} from '@auburngrade/coordination';
import type Logger from '../log/logger';
import sleep from '../time/sleep';

interface SlotHoldingsOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  /** Time at which the configuration was complete, as far as this VM can prove. */
  completeAtMs(): number;
  /** Makes a write known to witnesses; whether a majority of them has it. */
  announce(revision: number): Promise<boolean>;
  /** Ends a group's connections at once: another VM may use the slot from now on. */
  cut(group: string): void;
  /** Told when this VM came to hold a slot or lost one. */
  onHoldingChanged(): void;
  logger: Logger;
  nowMs(): number;
}

const ANNOUNCE_RETRY_DELAY_MS = 500;

/** The slots that this VM has by the record, and whether it may use them now. */
const createSlotHoldings = (options: SlotHoldingsOptions) => {
  const { vm, incarnation, configuration, cut, onHoldingChanged, logger, nowMs } = options;
  /** Groups that this VM holds by the record, and from when their former holders can't use them. */
  const freeAtMs = new Map<string, number>();
  const usable = new Set<string>();
  /** Groups whose slots are being given back: they are not used again, whatever becomes of it. */
  const closing = new Set<string>();
  /** The latest take-over of each group that waits. */
  const waits = new Map<string, object>();
  let isStopped = false;

  const slotOf = (group: string): number =>
    ownSlot(configuration.get('slots', group), vm, incarnation);

  const isUsableFrom = (free: number): boolean =>
    isSlotUsable({ nowMs: nowMs(), completeAtMs: options.completeAtMs(), freeAtMs: free });

  const isUsable = (group: string): boolean => {
    const free = freeAtMs.get(group);
    if (free === undefined || isStopped || closing.has(group)) return false;
    // The record outlives a group that is deleted.
    return configuration.get('group', group) !== undefined && isUsableFrom(free);
  };

  const refresh = (group: string): void => {
    const isNow = isUsable(group);
    // What runs while the slot is given back ends with the lease, too.
    if (closing.has(group) && !isUsableFrom(freeAtMs.get(group) ?? 0)) cut(group);
    if (isNow === usable.has(group)) return;
    if (isNow) usable.add(group);
    else {
      usable.delete(group);
      cut(group);
    }
    logger.info(isNow ? 'slot.usable' : 'slot.lapsed', { group });
    onHoldingChanged();
  };

  /** A VM that was cut off proves its slots by what witnesses know: they hear of it first. */
  const announceUntilKnown = async (group: string, revision: number): Promise<void> => {
    const wait = {};
    waits.set(group, wait);
    while (!isStopped && waits.get(group) === wait) {
      if (await options.announce(revision)) {
        if (waits.get(group) === wait) freeAtMs.set(group, nowMs() + slotTimings.takeOverMs);
        return;
      }
      await sleep(ANNOUNCE_RETRY_DELAY_MS);
    }
  };

  const noteTaken = (group: string, slot: number): void => {
    const isTakenOver = configuration.get('slots', group)?.holders[slot]?.isTakenOver ?? true;
    freeAtMs.set(group, isTakenOver ? Number.POSITIVE_INFINITY : nowMs());
    logger.info('slot.taken', { group, slot, isTakenOver });
    if (isTakenOver) announceUntilKnown(group, configuration.revisionOf('slots', group) ?? 0);
    refresh(group);
  };

  return {
    slotOf,
    isUsable,
    has: (group: string): boolean => freeAtMs.has(group),
    /** Groups whose slots this VM has by the record. */
    names: (): string[] => [...freeAtMs.keys()],
    /** Groups whose slots this VM uses now. */
    used: (): string[] => [...usable],
    refreshAll: (): void => [...freeAtMs.keys()].forEach(refresh),
    /** Brings what this VM holds in line with the record. */
    follow: (group: string): void => {
      const slot = slotOf(group);
      if (slot >= 0 && !freeAtMs.has(group)) noteTaken(group, slot);
      if (slot < 0 && freeAtMs.delete(group)) {
        logger.info('slot.lost', { group });
        waits.delete(group);
        closing.delete(group);
        refresh(group);
        cut(group);
      }
    },
    isClosing: (group: string): boolean => closing.has(group),
    /** Uses a slot no more: it is about to be given back. */
    beginClosing: (group: string): void => {
      closing.add(group);
      usable.delete(group);
      onHoldingChanged();
    },
    stop: (): void => {
      isStopped = true;
    },
  };
};

export default createSlotHoldings;

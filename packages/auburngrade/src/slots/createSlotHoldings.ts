import { createHeldSlots, ownSlot, type ConfigurationState } from '@auburngrade/coordination';
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
  const held = createHeldSlots();
  let isStopped = false;

  const slotOf = (group: string): number =>
    ownSlot(configuration.get('slots', group), vm, incarnation);

  const moment = (group: string) => ({
    nowMs: nowMs(),
    completeAtMs: options.completeAtMs(),
    // The record outlives a group that is deleted.
    isServed: !isStopped && configuration.get('group', group) !== undefined,
  });

  const isUsable = (group: string): boolean => held.isUsable(group, moment(group));

  const refresh = (group: string): void => {
    const { isChanged, isCut } = held.refresh(group, moment(group));
    if (isCut) cut(group);
    if (!isChanged) return;
    logger.info(isCut ? 'slot.lapsed' : 'slot.usable', { group });
    onHoldingChanged();
  };

  /** A VM that was cut off proves its slots by what witnesses know: they hear of it first. */
  const announceUntilKnown = async (group: string, revision: number): Promise<void> => {
    while (!isStopped && held.isHeldBy(group, revision)) {
      if (await options.announce(revision)) {
        held.noteAnnounced(group, revision, nowMs());
        return;
      }
      await sleep(ANNOUNCE_RETRY_DELAY_MS);
    }
  };

  const noteTaken = (group: string, slot: number): void => {
    const isTakenOver = configuration.get('slots', group)?.holders[slot]?.isTakenOver ?? true;
    const revision = configuration.revisionOf('slots', group) ?? 0;
    held.take(group, revision, isTakenOver, nowMs());
    logger.info('slot.taken', { group, slot, isTakenOver });
    if (isTakenOver) announceUntilKnown(group, revision);
    refresh(group);
  };

  const noteLost = (group: string): void => {
    const wasInUse = held.lose(group);
    logger.info('slot.lost', { group });
    cut(group);
    if (wasInUse) onHoldingChanged();
  };

  return {
    slotOf,
    isUsable,
    has: held.has,
    /** Groups whose slots this VM has by the record. */
    names: held.names,
    /** Groups whose slots this VM uses now. */
    used: held.inUse,
    refreshAll: (): void => held.names().forEach(refresh),
    /** Brings what this VM holds in line with the record. */
    follow: (group: string): void => {
      const slot = slotOf(group);
      if (slot >= 0 && !held.has(group)) noteTaken(group, slot);
      if (slot < 0 && held.has(group)) noteLost(group);
    },
    isClosing: held.isClosing,
    /** Uses a slot no more: it is about to be given back. */
    beginClosing: (group: string): void => {
      held.beginClosing(group);
      onHoldingChanged();
    },
    stop: (): void => {
      isStopped = true;
    },
  };
};

export default createSlotHoldings;

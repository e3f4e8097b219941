import {
  createHeldSlots,
  findAssignedSlot,
  type ConfigurationState,
} from '@auburngrade/coordination';
import type Logger from '../log/logger';
import sleep from '../time/sleep';

interface SlotTrackerOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  /** Latest time at which this VM can prove that its configuration was complete. */
  completeAtMs(): number;
  /** Notifies the data centre's witnesses of a write; resolves with whether a majority knows it. */
  announceWrite(revision: number): Promise<boolean>;
  /** Closes a group's connections at once: another VM may use the slot from now on. */
  closeConnections(group: string): void;
  /** Called after this VM gained or lost the use of a slot. */
  onSlotUseChanged(): void;
  logger: Logger;
  nowMs(): number;
}

const ANNOUNCE_RETRY_DELAY_MS = 500;

/** Creates the tracker of the slots recorded for this VM and of whether it may use them now. */
const createSlotTracker = (options: SlotTrackerOptions) => {
  const { vm, incarnation, configuration, closeConnections, onSlotUseChanged, logger, nowMs } =
    options;
  const heldSlots = createHeldSlots();
  let isStopped = false;

  const findSlotIndex = (group: string): number =>
    findAssignedSlot(configuration.get('slots', group), vm, incarnation);

  const readConditions = (group: string) => ({
    nowMs: nowMs(),
    completeAtMs: options.completeAtMs(),
    // The slots record remains after its group is deleted.
    isServed: !isStopped && configuration.get('group', group) !== undefined,
  });

  const isUsable = (group: string): boolean => heldSlots.isUsable(group, readConditions(group));

  const refreshUse = (group: string): void => {
    const { isChanged, mustCloseConnections } = heldSlots.refresh(group, readConditions(group));
    if (mustCloseConnections) closeConnections(group);
    if (!isChanged) return;
    logger.info(mustCloseConnections ? 'slot.lapsed' : 'slot.usable', { group });
    onSlotUseChanged();
  };

  /**
   * Announces a takeover to the witnesses until a majority knows it. A previous holder partitioned
   * from the configuration store relies on the witnesses, so the slot is not used before.
   */
  const announceTakeover = async (group: string, revision: number): Promise<void> => {
    while (!isStopped && heldSlots.isHeldAtRevision(group, revision)) {
      if (await options.announceWrite(revision)) {
        heldSlots.startTakeOverWait(group, revision, nowMs());
        return;
      }
      await sleep(ANNOUNCE_RETRY_DELAY_MS);
    }
  };

  const handleSlotAdded = (group: string, slot: number): void => {
    const isTakenOver = configuration.get('slots', group)?.holders[slot]?.isTakenOver ?? true;
    const revision = configuration.getDocumentRevision('slots', group) ?? 0;
    heldSlots.addSlot(group, revision, isTakenOver, nowMs());
    logger.info('slot.taken', { group, slot, isTakenOver });
    if (isTakenOver) announceTakeover(group, revision);
    refreshUse(group);
  };

  const handleSlotRemoved = (group: string): void => {
    const wasInUse = heldSlots.removeSlot(group);
    logger.info('slot.lost', { group });
    closeConnections(group);
    if (wasInUse) onSlotUseChanged();
  };

  return {
    findSlotIndex,
    isUsable,
    has: heldSlots.has,
    /** Groups of which the record gives this VM a slot. */
    groupNames: heldSlots.groupNames,
    /** Groups whose slots this VM uses now. */
    groupNamesInUse: heldSlots.groupNamesInUse,
    refreshAll: (): void => heldSlots.groupNames().forEach(refreshUse),
    /** Updates the slot of a group after a change of its record. */
    follow: (group: string): void => {
      const slot = findSlotIndex(group);
      if (slot >= 0 && !heldSlots.has(group)) handleSlotAdded(group, slot);
      if (slot < 0 && heldSlots.has(group)) handleSlotRemoved(group);
    },
    isReleasing: heldSlots.isReleasing,
    /** Stops using a slot that is about to be released. */
    startReleasing: (group: string): void => {
      heldSlots.startReleasing(group);
      onSlotUseChanged();
    },
    stop: (): void => {
      isStopped = true;
    },
  };
};

export default createSlotTracker;

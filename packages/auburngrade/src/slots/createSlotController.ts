import { decideSlot, documentKinds, type ConfigurationState } from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import { z } from 'zod';
import type GroupRegistry from '../groups/groupRegistry';
import type Logger from '../log/logger';
import type Membership from '../membership/membership';
import type MessageHandler from '../membership/messageHandler';
import sleep from '../time/sleep';
import createSlotTracker from './createSlotTracker';
import createSlotRecordWriter from './createSlotRecordWriter';

interface SlotControllerOptions {
  vm: string;
  incarnation: number;
  platform: ConfigurationStore;
  platformTimeoutMs: number;
  configuration: ConfigurationState;
  /** Latest time at which this VM can prove that its configuration was complete. */
  completeAtMs(): number;
  /** Notifies the data centre's witnesses of a write; resolves with whether a majority knows it. */
  announceWrite(revision: number): Promise<boolean>;
  /** Sends a message to another VM and resolves with the body of its reply. */
  send(vm: string, kind: string, body: unknown, timeoutMs: number): Promise<unknown>;
  logger: Logger;
  nowMs(): number;
}

/** Components passed to `start` because they depend on the slots themselves. */
interface SlotUsers {
  membership: Membership;
  groups: GroupRegistry;
  /** Called after this VM gained or lost the use of a slot. */
  onSlotUseChanged(): void;
}

const SLOT_WANTED_KIND = 'slotWanted';
const SLOT_WANTED_TIMEOUT_MS = 500;
const CHECK_INTERVAL_MS = 250;
/** Combines changes of the VM list and of groups, which come in bursts. */
const RECONCILE_ALL_DELAY_MS = 100;
/** Mean delay before an action without effect is retried; jitter spreads the VMs. */
const RETRY_DELAY_MS = 1_000;
/** Groups reconciled before the event loop may run other work. */
const GROUPS_PER_BATCH = 200;
/** Statements running when a slot is released may continue for this long. */
const RELEASE_GRACE_MS = 10_000;
const RELEASE_RETRY_DELAY_MS = 300;
/** Attempts to write a release; if all fail, another VM takes the slot over. */
const MAX_RELEASE_ATTEMPTS = 5;

const slotWantedSchema = z.strictObject({ group: z.string().min(1) });

/** Creates the controller that takes and releases this VM's slots of database groups. */
const createSlotController = (options: SlotControllerOptions) => {
  const { vm, incarnation, configuration, logger } = options;
  const writer = createSlotRecordWriter(options.platform, configuration, options.platformTimeoutMs);
  const pendingGroups = new Set<string>();
  const busyGroups = new Set<string>();
  let users: SlotUsers | undefined;
  let isStopped = false;
  let retryTimer: NodeJS.Timeout | undefined;
  let checkTimer: NodeJS.Timeout | undefined;
  let reconcileAllTimer: NodeJS.Timeout | undefined;
  let stopListening = (): void => {};

  const tracker = createSlotTracker({
    ...options,
    closeConnections: (group) => users?.groups.release(group, 0),
    onSlotUseChanged: () => users?.onSlotUseChanged(),
  });

  /**
   * Clears a slot's holder once its connections are closed. A write whose answer was lost may
   * have taken effect, so the slot is not used again even if every attempt fails.
   */
  const clearSlot = async (group: string, slot: number): Promise<void> => {
    const isHeld = (): boolean => tracker.findSlotIndex(group) === slot;
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS && isHeld(); attempt += 1) {
      if ((await writer.write(group, slot, null)) !== undefined) return;
      await sleep(RELEASE_RETRY_DELAY_MS);
    }
  };

  /** Closes the group's connections, then clears its slot; one not yet usable is kept. */
  const releaseSlot = async (group: string): Promise<void> => {
    const slot = tracker.findSlotIndex(group);
    if (slot < 0) return;
    if (!tracker.isReleasing(group)) {
      if (!tracker.isUsable(group)) return;
      tracker.startReleasing(group);
      await users?.groups.drainGroup(group, RELEASE_GRACE_MS);
      logger.info('slot.closed', { group, slot });
    }
    await clearSlot(group, slot);
    if (tracker.isReleasing(group)) pendingGroups.add(group);
  };

  const requestRelease = async (group: string, others: string[]): Promise<void> => {
    await Promise.allSettled(
      others.map((other) =>
        options.send(other, SLOT_WANTED_KIND, { group }, SLOT_WANTED_TIMEOUT_MS),
      ),
    );
    pendingGroups.add(group);
  };

  const takeSlot = async (group: string, slot: number, isTakenOver: boolean): Promise<void> => {
    const holder = { vm, incarnation, isTakenOver };
    const revision = await writer.write(group, slot, holder);
    if (revision === undefined) pendingGroups.add(group);
  };

  const applyDecision = async (group: string): Promise<void> => {
    const document = configuration.get('group', group);
    if (!document || !users) return;
    const { membership } = users;
    const decision = decideSlot({
      vm,
      incarnation,
      slots: document.slots,
      record: configuration.get('slots', group),
      isReleasing: tracker.isReleasing(group),
      chosenVms: membership.findChosenVms(group),
      isRegisteredVm: membership.isRegisteredVm,
    });
    if (decision.kind === 'giveBack') await releaseSlot(group);
    else if (decision.kind === 'ask') await requestRelease(group, decision.vms);
    else if (decision.kind === 'take') await takeSlot(group, decision.slot, decision.isTakenOver);
  };

  const reconcile = (group: string): void => {
    if (isStopped || busyGroups.has(group)) return;
    busyGroups.add(group);
    pendingGroups.delete(group);
    applyDecision(group)
      .catch((error: Error) => {
        pendingGroups.add(group);
        logger.warn('slot.stepFailed', { group, message: error.message });
      })
      .finally(() => busyGroups.delete(group));
  };

  /** Whether this VM holds, or should hold, a slot of the group. */
  const isRelevant = (group: string): boolean =>
    tracker.has(group) || (users?.membership.findChosenVms(group).includes(vm) ?? false);

  const reconcileAll = async (): Promise<void> => {
    reconcileAllTimer = undefined;
    const groups = configuration.listNames('group');
    for (let start = 0; start < groups.length && !isStopped; start += GROUPS_PER_BATCH) {
      groups
        .slice(start, start + GROUPS_PER_BATCH)
        .filter(isRelevant)
        .forEach(reconcile);
      await sleep(0);
    }
  };

  const scheduleReconcileAll = (): void => {
    reconcileAllTimer ??= setTimeout(reconcileAll, RECONCILE_ALL_DELAY_MS);
  };

  /** The VM list affects every group; the documents of a group only that group. */
  const onChange = (changed: readonly { key: string }[]): void => {
    const isBurst = changed.length > GROUPS_PER_BATCH;
    if (isBurst) scheduleReconcileAll();
    changed.forEach(({ key }) => {
      if (key.startsWith(documentKinds.slots.prefix)) {
        const group = key.slice(documentKinds.slots.prefix.length);
        tracker.follow(group);
        if (!isBurst) reconcile(group);
      } else if (key.startsWith(documentKinds.group.prefix)) {
        const group = key.slice(documentKinds.group.prefix.length);
        if (!isBurst && isRelevant(group)) reconcile(group);
      } else if (key.startsWith(documentKinds.vm.prefix)) scheduleReconcileAll();
    });
  };

  /** Releases a slot for another VM if this VM's list too assigns one to it and none to this VM. */
  const handleSlotWanted: MessageHandler = async (fromVm, body) => {
    const { group } = slotWantedSchema.parse(body);
    const chosenVms = users?.membership.findChosenVms(group) ?? [];
    const isAgreed = chosenVms.includes(fromVm) && !chosenVms.includes(vm);
    if (isAgreed && !busyGroups.has(group)) {
      busyGroups.add(group);
      await releaseSlot(group).finally(() => busyGroups.delete(group));
    }
    return {};
  };

  const scheduleRetry = (): void => {
    retryTimer = setTimeout(
      () => {
        [...pendingGroups].forEach(reconcile);
        scheduleRetry();
      },
      RETRY_DELAY_MS * (0.5 + Math.random()),
    );
  };

  return {
    isUsable: tracker.isUsable,
    /** Groups whose slots this VM uses now. */
    describe: tracker.groupNamesInUse,
    messageHandlers: [[SLOT_WANTED_KIND, handleSlotWanted]] as [string, MessageHandler][],
    start: (slotUsers: SlotUsers): void => {
      users = slotUsers;
      checkTimer = setInterval(tracker.refreshAll, CHECK_INTERVAL_MS);
      stopListening = configuration.onChange(onChange);
      scheduleReconcileAll();
      scheduleRetry();
    },
    /** Releases all slots at a planned stop. */
    stop: async (): Promise<void> => {
      clearTimeout(retryTimer);
      clearTimeout(reconcileAllTimer);
      stopListening();
      await Promise.allSettled(tracker.groupNames().map(releaseSlot));
      isStopped = true;
      tracker.stop();
      clearInterval(checkTimer);
    },
  };
};

export default createSlotController;

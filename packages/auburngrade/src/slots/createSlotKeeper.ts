import { decideSlot, documentKinds, type ConfigurationState } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import { z } from 'zod';
import type GroupRegistry from '../groups/groupRegistry';
import type Logger from '../log/logger';
import type Membership from '../membership/membership';
import type MessageHandler from '../membership/messageHandler';
import sleep from '../time/sleep';
import createSlotHoldings from './createSlotHoldings';
import createSlotWriter from './createSlotWriter';

interface SlotKeeperOptions {
  vm: string;
  incarnation: number;
  platform: Platform;
  platformTimeoutMs: number;
  configuration: ConfigurationState;
  /** Time at which the configuration was complete, as far as this VM can prove. */
  completeAtMs(): number;
  /** Makes a write known to witnesses; whether a majority of them has it. */
  announce(revision: number): Promise<boolean>;
  exchange(vm: string, kind: string, body: unknown, timeoutMs: number): Promise<unknown>;
  logger: Logger;
  nowMs(): number;
}

/** The parts of the VM that themselves ask which slots it holds. */
interface SlotUsers {
  membership: Membership;
  groups: GroupRegistry;
  /** Told when this VM came to hold a slot or lost one. */
  onHoldingChanged(): void;
}

const ASK_KIND = 'slotWanted';
const ASK_TIMEOUT_MS = 500;
const CHECK_INTERVAL_MS = 250;
/** Changes of the list and of groups come in bursts. */
const LIST_DELAY_MS = 100;
/** A step that had no effect is tried again, at times that differ between VMs. */
const RETRY_DELAY_MS = 1_000;
/** Groups looked at before other work gets its turn. */
const GROUPS_PER_TURN = 200;
/** What runs when a slot is given back may go on for this long. */
const GIVE_BACK_CUT_MS = 10_000;
const GIVE_BACK_RETRY_DELAY_MS = 300;
/** Tries at a planned stop; without an answer another VM takes the slot over. */
const MAX_GIVE_BACK_TRIES = 5;

const wantedSchema = z.strictObject({ group: z.string().min(1) });

/** Takes, keeps and gives back this VM's slots of database groups. */
const createSlotKeeper = (options: SlotKeeperOptions) => {
  const { vm, incarnation, configuration, logger } = options;
  const writer = createSlotWriter(options.platform, configuration, options.platformTimeoutMs);
  const pending = new Set<string>();
  const busy = new Set<string>();
  let users: SlotUsers | undefined;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let checkTimer: NodeJS.Timeout | undefined;
  let listTimer: NodeJS.Timeout | undefined;
  let stopListening = (): void => {};

  const holdings = createSlotHoldings({
    ...options,
    cut: (group) => users?.groups.release(group, 0),
    onHoldingChanged: () => users?.onHoldingChanged(),
  });

  /**
   * Frees a slot without connections. A write whose answer was lost may have taken effect, so
   * the slot is not used again whatever the answer.
   */
  const freeSlot = async (group: string, slot: number): Promise<void> => {
    const isHeld = (): boolean => holdings.slotOf(group) === slot;
    for (let tries = 0; tries < MAX_GIVE_BACK_TRIES && isHeld(); tries += 1) {
      if ((await writer.write(group, slot, null)) !== undefined) return;
      await sleep(GIVE_BACK_RETRY_DELAY_MS);
    }
  };

  /** Closes the group's connections, then frees its slot; a slot not yet usable stays taken over. */
  const giveBack = async (group: string): Promise<void> => {
    const slot = holdings.slotOf(group);
    if (slot < 0) return;
    if (!holdings.isClosing(group)) {
      if (!holdings.isUsable(group)) return;
      holdings.beginClosing(group);
      await users?.groups.retire(group, GIVE_BACK_CUT_MS);
      logger.info('slot.closed', { group, slot });
    }
    await freeSlot(group, slot);
    if (holdings.isClosing(group)) pending.add(group);
  };

  const ask = async (group: string, others: string[]): Promise<void> => {
    await Promise.allSettled(
      others.map((other) => options.exchange(other, ASK_KIND, { group }, ASK_TIMEOUT_MS)),
    );
    pending.add(group);
  };

  const take = async (group: string, slot: number, isTakenOver: boolean): Promise<void> => {
    const holder = { vm, incarnation, isTakenOver };
    const revision = await writer.write(group, slot, holder);
    if (revision === undefined) pending.add(group);
  };

  const step = async (group: string): Promise<void> => {
    const document = configuration.get('group', group);
    if (!document || !users) return;
    const { membership } = users;
    const decision = decideSlot({
      vm,
      incarnation,
      slots: document.slots,
      record: configuration.get('slots', group),
      isClosing: holdings.isClosing(group),
      chosen: membership.chosen(group),
      isListed: membership.isListed,
    });
    if (decision.kind === 'giveBack') await giveBack(group);
    else if (decision.kind === 'ask') await ask(group, decision.vms);
    else if (decision.kind === 'take') await take(group, decision.slot, decision.isTakenOver);
  };

  const consider = (group: string): void => {
    if (isStopped || busy.has(group)) return;
    busy.add(group);
    pending.delete(group);
    step(group)
      .catch((error: Error) => {
        pending.add(group);
        logger.warn('slot.stepFailed', { group, message: error.message });
      })
      .finally(() => busy.delete(group));
  };

  /** Whether this VM has, or should have, a slot of the group. */
  const isConcerned = (group: string): boolean =>
    holdings.has(group) || (users?.membership.chosen(group).includes(vm) ?? false);

  const considerAll = async (): Promise<void> => {
    listTimer = undefined;
    const groups = configuration.names('group');
    for (let at = 0; at < groups.length && !isStopped; at += GROUPS_PER_TURN) {
      groups
        .slice(at, at + GROUPS_PER_TURN)
        .filter(isConcerned)
        .forEach(consider);
      await sleep(0);
    }
  };

  const considerAllSoon = (): void => {
    listTimer ??= setTimeout(considerAll, LIST_DELAY_MS);
  };

  /** The list of VMs decides about every group, a group's own documents about that one only. */
  const onChange = (changed: readonly { key: string }[]): void => {
    const isBurst = changed.length > GROUPS_PER_TURN;
    if (isBurst) considerAllSoon();
    changed.forEach(({ key }) => {
      if (key.startsWith(documentKinds.slots.prefix)) {
        const group = key.slice(documentKinds.slots.prefix.length);
        holdings.follow(group);
        if (!isBurst) consider(group);
      } else if (key.startsWith(documentKinds.group.prefix)) {
        const group = key.slice(documentKinds.group.prefix.length);
        if (!isBurst && isConcerned(group)) consider(group);
      } else if (key.startsWith(documentKinds.vm.prefix)) considerAllSoon();
    });
  };

  /** Another VM should hold a slot of the group by its view of the list. */
  const answerWanted: MessageHandler = async (fromVm, body) => {
    const { group } = wantedSchema.parse(body);
    const chosen = users?.membership.chosen(group) ?? [];
    const isAgreed = chosen.includes(fromVm) && !chosen.includes(vm);
    if (isAgreed && !busy.has(group)) {
      busy.add(group);
      await giveBack(group).finally(() => busy.delete(group));
    }
    return {};
  };

  const retryLater = (): void => {
    timer = setTimeout(
      () => {
        [...pending].forEach(consider);
        retryLater();
      },
      RETRY_DELAY_MS * (0.5 + Math.random()),
    );
  };

  return {
    isUsable: holdings.isUsable,
    /** Groups whose slots this VM uses now. */
    describe: holdings.used,
    messageHandlers: [[ASK_KIND, answerWanted]] as [string, MessageHandler][],
    start: (slotUsers: SlotUsers): void => {
      users = slotUsers;
      checkTimer = setInterval(holdings.refreshAll, CHECK_INTERVAL_MS);
      stopListening = configuration.onChange(onChange);
      considerAllSoon();
      retryLater();
    },
    /** Gives all slots back at a planned stop. */
    stop: async (): Promise<void> => {
      clearTimeout(timer);
      clearTimeout(listTimer);
      stopListening();
      await Promise.allSettled(holdings.names().map(giveBack));
      isStopped = true;
      holdings.stop();
      clearInterval(checkTimer);
    },
  };
};

export default createSlotKeeper;

import {
  decideSlot,
  isSlotUsable,
  ownSlot,
  slotTimings,
  type ConfigurationState,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import { z } from 'zod';
import type GroupRegistry from '../groups/groupRegistry';
import type Logger from '../log/logger';
import type Membership from '../membership/membership';
import sleep from '../time/sleep';
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

type MessageHandler = (fromVm: string, body: unknown) => Promise<unknown>;

const VM_PREFIX = '/platform/vms/';
const GROUP_PREFIX = '/auburngrade/group/';
const SLOTS_PREFIX = '/auburngrade/slots/';
const ASK_KIND = 'slotWanted';
const ASK_TIMEOUT_MS = 500;
const CHECK_INTERVAL_MS = 250;
/** Changes of the list and of groups come in bursts. */
const LIST_DELAY_MS = 100;
/** A step that had no effect is tried again, at times that differ between VMs. */
const RETRY_DELAY_MS = 1_000;
const ANNOUNCE_RETRY_DELAY_MS = 500;
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
  const { vm, incarnation, configuration, logger, nowMs } = options;
  const writer = createSlotWriter(options.platform, configuration, options.platformTimeoutMs);
  /** Groups that this VM holds by the record, and from when their former holders can't use them. */
  const freeAtMs = new Map<string, number>();
  const usable = new Set<string>();
  /** Groups whose slots are being given back: they are not used again, whatever becomes of it. */
  const closing = new Set<string>();
  /** The latest take-over of each group that waits. */
  const waits = new Map<string, object>();
  const pending = new Set<string>();
  const busy = new Set<string>();
  let users: SlotUsers | undefined;
  let isStopped = false;
  let timer: NodeJS.Timeout | undefined;
  let checkTimer: NodeJS.Timeout | undefined;
  let listTimer: NodeJS.Timeout | undefined;
  let stopListening = (): void => {};

  const slotOf = (group: string): number =>
    ownSlot(configuration.get('slots', group), vm, incarnation);

  const isUsableFrom = (free: number): boolean =>
    isSlotUsable({ nowMs: nowMs(), completeAtMs: options.completeAtMs(), freeAtMs: free });

  const isUsable = (group: string): boolean => {
    const free = freeAtMs.get(group);
    return free !== undefined && !isStopped && !closing.has(group) && isUsableFrom(free);
  };

  /** Ends the group's connections at once: another VM may use the slot from now on. */
  const cut = (group: string): void => {
    users?.groups.release(group, 0);
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
    users?.onHoldingChanged();
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

  /** Brings what this VM holds in line with the record. */
  const follow = (group: string): void => {
    const slot = slotOf(group);
    if (slot >= 0 && !freeAtMs.has(group)) noteTaken(group, slot);
    if (slot < 0 && freeAtMs.delete(group)) {
      logger.info('slot.lost', { group });
      waits.delete(group);
      closing.delete(group);
      refresh(group);
      cut(group);
    }
  };

  /**
   * Frees a slot without connections. A write whose answer was lost may have taken effect, so
   * the slot is not used again whatever the answer.
   */
  const freeSlot = async (group: string, slot: number): Promise<void> => {
    for (let tries = 0; tries < MAX_GIVE_BACK_TRIES && slotOf(group) === slot; tries += 1) {
      if ((await writer.write(group, slot, null)) !== undefined) return;
      await sleep(GIVE_BACK_RETRY_DELAY_MS);
    }
  };

  /** Closes the group's connections, then frees its slot; a slot not yet usable stays taken over. */
  const giveBack = async (group: string): Promise<void> => {
    const slot = slotOf(group);
    if (slot < 0) return;
    if (!closing.has(group)) {
      if (!isUsable(group)) return;
      closing.add(group);
      usable.delete(group);
      users?.onHoldingChanged();
      await users?.groups.retire(group, GIVE_BACK_CUT_MS);
      logger.info('slot.closed', { group, slot });
    }
    await freeSlot(group, slot);
    if (closing.has(group)) pending.add(group);
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
    if (closing.has(group)) {
      await giveBack(group);
      return;
    }
    const { membership } = users;
    const decision = decideSlot({
      vm,
      incarnation,
      slots: document.slots,
      record: configuration.get('slots', group),
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

  const considerAll = async (): Promise<void> => {
    listTimer = undefined;
    const groups = [...configuration.list('group').keys()];
    for (let at = 0; at < groups.length && !isStopped; at += GROUPS_PER_TURN) {
      groups.slice(at, at + GROUPS_PER_TURN).forEach(consider);
      await sleep(0);
    }
  };

  const considerAllSoon = (): void => {
    listTimer ??= setTimeout(considerAll, LIST_DELAY_MS);
  };

  const onChange = (changed: readonly { key: string }[]): void => {
    if (changed.length > GROUPS_PER_TURN) considerAllSoon();
    changed.forEach(({ key }) => {
      if (key.startsWith(SLOTS_PREFIX)) {
        const group = key.slice(SLOTS_PREFIX.length);
        follow(group);
        if (changed.length <= GROUPS_PER_TURN) consider(group);
      } else if (key.startsWith(GROUP_PREFIX)) considerAllSoon();
      else if (key.startsWith(VM_PREFIX)) considerAllSoon();
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
    isUsable,
    /** Groups whose slots this VM uses now. */
    describe: (): string[] => [...usable],
    messageHandlers: [[ASK_KIND, answerWanted]] as [string, MessageHandler][],
    start: (slotUsers: SlotUsers): void => {
      users = slotUsers;
      checkTimer = setInterval(() => [...freeAtMs.keys()].forEach(refresh), CHECK_INTERVAL_MS);
      stopListening = configuration.onChange(onChange);
      considerAllSoon();
      retryLater();
    },
    /** Gives all slots back at a planned stop. */
    stop: async (): Promise<void> => {
      clearTimeout(timer);
      clearTimeout(listTimer);
      stopListening();
      await Promise.allSettled([...freeAtMs.keys()].map(giveBack));
      isStopped = true;
      clearInterval(checkTimer);
    },
  };
};

export default createSlotKeeper;

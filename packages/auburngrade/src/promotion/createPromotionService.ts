import {
  documentKinds,
  type ConfigurationState,
  type FailoverTimings,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type createTermKeeper from '../groups/createTermKeeper';
import type GroupHolder from '../groups/groupHolder';
import type GroupRegistry from '../groups/groupRegistry';
import type Logger from '../log/logger';
import type Membership from '../membership/membership';
import type SendMessage from '../membership/sendMessage';
import createGroupPromoter from './createGroupPromoter';
import createPeerOpinions from './createPeerOpinions';
import type FailoverMetrics from './failoverMetrics';
import suspicionMessageSchema from './suspicionMessageSchema';

interface ServiceOptions {
  vm: string;
  /** Names this start of this VM among promoters. */
  incarnation: number;
  platform: Platform;
  platformTimeoutMs: number;
  configuration: ConfigurationState;
  membership: Membership;
  groups: GroupRegistry;
  /** Groups whose connections this VM may have now. */
  heldGroups(): string[];
  terms: ReturnType<typeof createTermKeeper>;
  send: SendMessage;
  timings: FailoverTimings;
  metrics: FailoverMetrics;
  logger: Logger;
  nowMs(): number;
}

type GroupPromoter = ReturnType<typeof createGroupPromoter>;

const TICK_INTERVAL_MS = 100;
const FIRST_TERM_INTERVAL_MS = 500;
const HOLDERS_CHANGE_DELAY_MS = 50;
/** Changes below these prefixes may change who holds a group. */
const HOLDER_PREFIXES = [
  documentKinds.group.prefix,
  documentKinds.slots.prefix,
  documentKinds.vm.prefix,
];

/** Watches the primaries of all groups whose connections this VM holds. */
const createPromotionService = (options: ServiceOptions) => {
  const { vm, configuration, membership, groups, logger, nowMs } = options;
  const opinions = createPeerOpinions(vm, membership, options.send);
  const promoters = new Map<string, GroupPromoter>();
  const ranks = new Map<string, number>();
  let rankTimer: NodeJS.Timeout | undefined;
  let timers: NodeJS.Timeout[] = [];
  let stopListening = (): void => {};

  const rankIn = (group: string): number =>
    membership.holders(group).findIndex(({ id }) => id === vm);

  const release = (group: string): void => {
    promoters.get(group)?.close();
    promoters.delete(group);
  };

  const updateRanks = (): void => {
    rankTimer = undefined;
    ranks.clear();
    options.heldGroups().forEach((group) => {
      const rank = rankIn(group);
      if (rank >= 0) ranks.set(group, rank);
    });
    [...promoters.keys()].filter((group) => !ranks.has(group)).forEach(release);
  };

  const updateRanksSoon = (): void => {
    rankTimer ??= setTimeout(updateRanks, HOLDERS_CHANGE_DELAY_MS);
  };

  const create = (holder: GroupHolder): GroupPromoter =>
    createGroupPromoter({
      holder,
      promoter: `${vm}/${options.incarnation}`,
      platform: options.platform,
      configuration,
      platformTimeoutMs: options.platformTimeoutMs,
      timings: options.timings,
      opinions,
      rank: () => ranks.get(holder.name) ?? 0,
      metrics: options.metrics,
      logger,
      nowMs,
    });

  const promoterOf = (group: string): GroupPromoter => {
    const holder = groups.get(group);
    const existing = promoters.get(group);
    if (existing?.holder === holder) return existing;
    existing?.close();
    const created = create(holder);
    promoters.set(group, created);
    return created;
  };

  const tick = (): void =>
    ranks.forEach((_, group) => {
      if (groups.mayHold(group)) promoterOf(group).tick();
      else release(group);
    });

  const ensureFirstTerms = (): void =>
    ranks.forEach((_, group) => {
      if (configuration.get('term', group) || !groups.mayHold(group)) return;
      options.terms.ensureRecord(groups.get(group));
    });

  const onChange = (changed: readonly { key: string }[]): void => {
    const isAboutHolders = changed.some(({ key }) =>
      HOLDER_PREFIXES.some((prefix) => key.startsWith(prefix)),
    );
    if (isAboutHolders) updateRanksSoon();
  };

  return {
    start: (): void => {
      stopListening = configuration.onChange(onChange);
      updateRanks();
      timers = [
        setInterval(tick, TICK_INTERVAL_MS),
        setInterval(ensureFirstTerms, FIRST_TERM_INTERVAL_MS),
      ];
    },
    /** To be called when this VM came to hold a slot, or lost one, by the passing of time. */
    updateRanksSoon,
    /** Answers another holder's question about a group's primary. */
    answerSuspicion: async (_fromVm: string, body: unknown): Promise<unknown> => {
      const { group, term } = suspicionMessageSchema.parse(body);
      return { view: (await promoters.get(group)?.view(term)) ?? 'unknown' };
    },
    stop: (): void => {
      timers.forEach(clearInterval);
      clearTimeout(rankTimer);
      stopListening();
      [...promoters.keys()].forEach(release);
    },
  };
};

export default createPromotionService;

import {
  documentKinds,
  type ConfigurationState,
  type FailoverTimings,
} from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import type createTermRecordInitializer from '../groups/createTermRecordInitializer';
import type GroupClient from '../groups/groupClient';
import type GroupRegistry from '../groups/groupRegistry';
import type Logger from '../log/logger';
import type Membership from '../membership/membership';
import type SendMessage from '../membership/sendMessage';
import createGroupPromoter from './createGroupPromoter';
import createPeerViewCollector from './createPeerViewCollector';
import type FailoverMetrics from './failoverMetrics';
import suspicionMessageSchema from './suspicionMessageSchema';

interface ServiceOptions {
  vm: string;
  /** Distinguishes this process from earlier starts of the VM. */
  incarnation: number;
  platform: ConfigurationStore;
  platformTimeoutMs: number;
  configuration: ConfigurationState;
  membership: Membership;
  groups: GroupRegistry;
  /** Groups to which this VM may have connections now. */
  listHeldGroups(): string[];
  terms: ReturnType<typeof createTermRecordInitializer>;
  send: SendMessage;
  timings: FailoverTimings;
  metrics: FailoverMetrics;
  logger: Logger;
  nowMs(): number;
}

type GroupPromoter = ReturnType<typeof createGroupPromoter>;

const TICK_INTERVAL_MS = 100;
const TERM_RECORD_CHECK_INTERVAL_MS = 500;
const RANK_UPDATE_DELAY_MS = 50;
/** Changes below these key prefixes may change which VMs hold a group, and so this VM's rank. */
const RANK_RELEVANT_PREFIXES = [
  documentKinds.group.prefix,
  documentKinds.slots.prefix,
  documentKinds.vm.prefix,
];

/** Runs a promoter for each group of which this VM holds a slot. */
const createPromotionService = (options: ServiceOptions) => {
  const { vm, configuration, membership, groups, logger, nowMs } = options;
  const peerViews = createPeerViewCollector(vm, membership, options.send);
  const promoters = new Map<string, GroupPromoter>();
  const ranks = new Map<string, number>();
  let rankTimer: NodeJS.Timeout | undefined;
  let intervalTimers: NodeJS.Timeout[] = [];
  let unsubscribe = (): void => {};

  const rankInGroup = (group: string): number =>
    membership.holders(group).findIndex(({ id }) => id === vm);

  const closePromoter = (group: string): void => {
    promoters.get(group)?.close();
    promoters.delete(group);
  };

  const updateRanks = (): void => {
    rankTimer = undefined;
    ranks.clear();
    options.listHeldGroups().forEach((group) => {
      const rank = rankInGroup(group);
      if (rank >= 0) ranks.set(group, rank);
    });
    [...promoters.keys()].filter((group) => !ranks.has(group)).forEach(closePromoter);
  };

  const scheduleRankUpdate = (): void => {
    rankTimer ??= setTimeout(updateRanks, RANK_UPDATE_DELAY_MS);
  };

  const createPromoter = (groupClient: GroupClient): GroupPromoter =>
    createGroupPromoter({
      groupClient,
      promoter: `${vm}/${options.incarnation}`,
      platform: options.platform,
      configuration,
      platformTimeoutMs: options.platformTimeoutMs,
      timings: options.timings,
      peerViews,
      rank: () => ranks.get(groupClient.name) ?? 0,
      metrics: options.metrics,
      logger,
      nowMs,
    });

  const getPromoter = (group: string): GroupPromoter => {
    const groupClient = groups.get(group);
    const existing = promoters.get(group);
    if (existing?.groupClient === groupClient) return existing;
    existing?.close();
    const created = createPromoter(groupClient);
    promoters.set(group, created);
    return created;
  };

  const tick = (): void =>
    ranks.forEach((_, group) => {
      if (groups.mayHold(group)) getPromoter(group).tick();
      else closePromoter(group);
    });

  const ensureTermRecords = (): void =>
    ranks.forEach((_, group) => {
      if (configuration.get('term', group) || !groups.mayHold(group)) return;
      options.terms.ensureTermRecord(groups.get(group));
    });

  const onChange = (changed: readonly { key: string }[]): void => {
    const isRankRelevant = changed.some(({ key }) =>
      RANK_RELEVANT_PREFIXES.some((prefix) => key.startsWith(prefix)),
    );
    if (isRankRelevant) scheduleRankUpdate();
  };

  return {
    start: (): void => {
      unsubscribe = configuration.onChange(onChange);
      updateRanks();
      intervalTimers = [
        setInterval(tick, TICK_INTERVAL_MS),
        setInterval(ensureTermRecords, TERM_RECORD_CHECK_INTERVAL_MS),
      ];
    },
    /** To be called when this VM gains or loses a slot by time alone, without a document change. */
    scheduleRankUpdate,
    /** Handles a suspicion message: returns this VM's view of a group's primary. */
    handleSuspicionMessage: async (_fromVm: string, body: unknown): Promise<unknown> => {
      const { group, term } = suspicionMessageSchema.parse(body);
      return { view: (await promoters.get(group)?.view(term)) ?? 'unknown' };
    },
    stop: (): void => {
      intervalTimers.forEach(clearInterval);
      clearTimeout(rankTimer);
      unsubscribe();
      [...promoters.keys()].forEach(closePromoter);
    },
  };
};

export default createPromotionService;

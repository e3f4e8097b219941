import {
  documentKinds,
  type ConfigurationState,
  type RateLimit,
  type ShareHolder,
  type ShareKeeper,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type PeerRegistry from '../routing/peerRegistry';
import createKeeperClaims from './createKeeperClaims';
import createPauseGuard from './createPauseGuard';
import createShareExchange from './createShareExchange';
import createShareRoles from './createShareRoles';
import createShareState from './createShareState';
import type ShareState from './shareState';
import updateShareState from './updateShareState';
import sleep from '../time/sleep';

interface ShareServiceOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  platform: Platform;
  platformTimeoutMs: number;
  peers: PeerRegistry;
  leaseMs: number;
  maxWaitMs: number;
  confirmedAtMs(): number;
  /** The limit of a share by its name. */
  limitOf(name: string): RateLimit | undefined;
  nowMs(): number;
  logger: Logger;
}

interface Shortage {
  code: 'rateExceeded' | 'shareUnavailable';
  retryAfterMs: number;
}

const TICK_MS = 200;
const MS_PER_S = 1_000;
/** A keeper asks the platform whether it still is one at most this often. */
const CONFIRM_INTERVAL_MS = 500;
/** A new keeper asks VMs that have not reported this often. */
const COLLECT_INTERVAL_MS = 1_000;
/** Wait after asking for tokens in vain; doubles up to the maximum. */
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 100;
/** A holder reports a changed demand this often, an unchanged one that often. */
const CHANGED_SYNC_MS = 1_000;
const UNCHANGED_SYNC_MS = 10_000;
const LEASE_SYNC_RATIO = 0.25;
const DEMAND_CHANGE_RATIO = 0.25;
const MIN_DEMAND_CHANGE_PER_S = 0.5;
const HAND_OVER_ATTEMPTS = 10;
const HAND_OVER_RETRY_MS = 100;

/** The shares of client accounts' rates that this VM keeps or holds. */
const createShareService = (options: ShareServiceOptions) => {
  const { configuration, platform, platformTimeoutMs, leaseMs, limitOf, nowMs, logger } = options;
  const states = new Map<string, ShareState>();
  const guard = createPauseGuard(nowMs);
  let trustedConfirmationMs = Number.NEGATIVE_INFINITY;

  const confirmedAtMs = (): number => {
    if (guard.isSteady()) trustedConfirmationMs = options.confirmedAtMs();
    return trustedConfirmationMs;
  };

  const stateOf = (name: string): ShareState | undefined => {
    const limit = limitOf(name);
    if (!limit) return undefined;
    const state = states.get(name) ?? createShareState(name, limit);
    states.set(name, state);
    if (state.limit !== limit) {
      updateShareState(state, { limit });
      state.holder?.setLimit(limit, nowMs());
      state.keeper?.setLimit(limit, nowMs());
    }
    return state;
  };

  const claims = createKeeperClaims({ ...options, timeoutMs: platformTimeoutMs });
  const roles = createShareRoles({ ...options, confirmedAtMs });
  const exchange = createShareExchange({ ...options, claims, roles, stateOf });

  /** The bucket that this VM may take from now. */
  const bucketOf = (state: ShareState): ShareHolder | ShareKeeper | undefined => {
    roles.refresh(state);
    if (state.keeper) return roles.hasAuthority(state) ? state.keeper : undefined;
    return state.holder;
  };

  /** Resolves with whether the other VMs that matter answered. */
  const gatherOnce = async (state: ShareState): Promise<boolean> => {
    await exchange.claimIfOrphaned(state);
    if (!state.keeper) return exchange.sync(state, true);
    return exchange.recall(state);
  };

  const nextBackoffMs = (state: ShareState): number =>
    Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, state.gatherBackoffMs * 2));

  /** Asks other VMs for tokens; resolves with whether a token is here now. */
  const gather = (state: ShareState): Promise<boolean> => {
    if (state.gathering) return state.gathering;
    if (nowMs() < state.gatherAfterMs) return Promise.resolve(false);
    const gathering = gatherOnce(state)
      .then((isAnswered) => {
        const hasToken = bucketOf(state)?.tokenDueInMs(nowMs()) === 0;
        const gatherBackoffMs = hasToken ? 0 : nextBackoffMs(state);
        const gatherAfterMs = nowMs() + gatherBackoffMs;
        updateShareState(state, { isAnswered, gatherBackoffMs, gatherAfterMs });
        return hasToken;
      })
      .finally(() => {
        updateShareState(state, { gathering: undefined });
      });
    updateShareState(state, { gathering });
    return gathering;
  };

  const waitAtMost = (waitMs: number, work: Promise<boolean>): Promise<boolean> =>
    new Promise((resolve, reject) => {
      const timer = setTimeout(() => resolve(false), Math.max(0, waitMs));
      work.then(resolve, reject).finally(() => clearTimeout(timer));
    });

  /** When to look again after other VMs had no token to give. */
  const retryDelayMs = (state: ShareState): number => {
    // Without an answer the keeper may be about to start or to change.
    if (!state.isAnswered) return MIN_BACKOFF_MS;
    const dueInMs = bucketOf(state)?.tokenDueInMs(nowMs()) ?? Number.POSITIVE_INFINITY;
    return Math.max(1, dueInMs) * state.waiting;
  };

  /** Whether the whole limit could serve all that wait here within the longest wait. */
  const mayBeServed = (state: ShareState): boolean =>
    state.waiting <= (state.limit.ratePerS * options.maxWaitMs) / MS_PER_S;

  const takeOrWait = async (state: ShareState): Promise<boolean> => {
    const deadlineAtMs = nowMs() + options.maxWaitMs;
    while (nowMs() < deadlineAtMs) {
      if (bucketOf(state)?.take(nowMs())) return true;
      const hasToken = await waitAtMost(deadlineAtMs - nowMs(), gather(state));
      const delayMs = hasToken ? 0 : retryDelayMs(state);
      if (nowMs() + delayMs > deadlineAtMs && !mayBeServed(state)) break;
      if (delayMs > 0) await sleep(Math.min(delayMs, MIN_BACKOFF_MS));
    }
    return bucketOf(state)?.take(nowMs()) ?? false;
  };

  const confirm = async (state: ShareState): Promise<void> => {
    const sentAtMs = nowMs();
    updateShareState(state, { confirmAfterMs: sentAtMs + CONFIRM_INTERVAL_MS });
    const key = documentKinds.share.prefix + state.name;
    const { entries } = await platform.range(key, platformTimeoutMs);
    configuration.applyChanges(
      0,
      entries.filter((entry) => entry.key === key),
    );
    const record = roles.refresh(state);
    if (state.keeper && state.keeper.epoch === record?.epoch) {
      state.keeper.confirm(sentAtMs, nowMs());
      updateShareState(state, { authorityAtMs: Math.max(state.authorityAtMs, sentAtMs) });
    }
  };

  const needsConfirmation = (state: ShareState): boolean => {
    if (!state.keeper || nowMs() < state.confirmAfterMs) return false;
    const isAgeing = nowMs() - state.authorityAtMs > leaseMs / 2;
    return isAgeing || state.keeper.needsConfirmation(nowMs());
  };

  const needsReports = (state: ShareState): boolean => {
    if (!state.keeper || state.keeper.isMinted() || nowMs() < state.collectAfterMs) return false;
    updateShareState(state, { collectAfterMs: nowMs() + COLLECT_INTERVAL_MS });
    return true;
  };

  const isSyncDue = (state: ShareState): boolean => {
    if (!state.holder || state.gathering) return false;
    const sinceMs = nowMs() - state.lastSyncAtMs;
    if (state.isSyncDue) return sinceMs >= TICK_MS;
    const demandPerS = state.holder.demandPerS(nowMs());
    if (state.holder.units() === 0 && demandPerS < MIN_DEMAND_CHANGE_PER_S) return false;
    const change = Math.abs(demandPerS - state.lastDemandPerS);
    const isChanged =
      change > Math.max(MIN_DEMAND_CHANGE_PER_S, state.lastDemandPerS * DEMAND_CHANGE_RATIO);
    if (isChanged && sinceMs >= CHANGED_SYNC_MS) return true;
    return sinceMs >= Math.min(UNCHANGED_SYNC_MS, leaseMs * LEASE_SYNC_RATIO);
  };

  const tickOne = async (state: ShareState): Promise<void> => {
    const record = roles.refresh(state);
    if (!record) return;
    await exchange.claimIfOrphaned(state);
    if (needsReports(state)) await exchange.collectReports(state);
    if (needsConfirmation(state)) await confirm(state);
    if (isSyncDue(state)) await exchange.sync(state, false);
  };

  const busy = new Set<string>();
  const tick = (): void => {
    states.forEach((state, name) => {
      if (busy.has(name) || !limitOf(name)) return;
      busy.add(name);
      tickOne(state)
        .catch((error: Error) => logger.debug('share.tickFailed', { message: error.message }))
        .finally(() => busy.delete(name));
    });
  };
  const timer = setInterval(tick, TICK_MS);
  timer.unref();

  const shortageOf = (state: ShareState): Shortage => {
    const bucket = bucketOf(state);
    const atWholeRateMs = Math.ceil(MS_PER_S / state.limit.ratePerS);
    const retryAfterMs = Math.max(1, bucket?.tokenDueInMs(nowMs()) ?? atWholeRateMs);
    return { code: bucket ? 'rateExceeded' : 'shareUnavailable', retryAfterMs };
  };

  const releaseAll = async (state: ShareState): Promise<void> => {
    state.holder?.releaseAll(nowMs());
    for (let attempt = 0; attempt < HAND_OVER_ATTEMPTS; attempt += 1) {
      if (await exchange.sync(state, false)) return;
      await sleep(HAND_OVER_RETRY_MS);
    }
    logger.warn('share.notHandedOver', { share: state.name });
  };

  const handOverOne = async (state: ShareState): Promise<void> => {
    roles.refresh(state);
    if (state.keeper) {
      const successor = state.keeper.successor();
      // Units that have not been reported yet are nobody's to give away.
      if (!successor && !state.keeper.isMinted()) return;
      const isPassed = await claims.pass(state.name, successor);
      if (!isPassed || !successor) return;
      roles.refresh(state);
    }
    if (state.holder && state.holder.units() > 0) await releaseAll(state);
  };

  return {
    /** Takes one token; resolves with undefined when it was there. */
    take: async (name: string): Promise<Shortage | undefined> => {
      const state = stateOf(name);
      if (!state) return { code: 'shareUnavailable', retryAfterMs: MS_PER_S };
      roles.refresh(state);
      (state.keeper ?? state.holder)?.count(nowMs());
      updateShareState(state, { waiting: state.waiting + 1 });
      try {
        return (await takeOrWait(state)) ? undefined : shortageOf(state);
      } finally {
        updateShareState(state, { waiting: state.waiting - 1 });
      }
    },
    /** Gives back a token of a request that was refused for another reason. */
    putBack: (name: string): void => {
      const state = states.get(name);
      if (state) bucketOf(state)?.putBack(nowMs());
    },
    /** Handlers of the messages between VMs. */
    handlers: exchange.handlers,
    /** Hands units and ledgers over to other VMs, before a shutdown. */
    handOver: async (): Promise<void> => {
      await Promise.all([...states.values()].map(handOverOne));
    },
    stop: (): void => {
      clearInterval(timer);
      guard.stop();
    },
    describe: () =>
      Object.fromEntries(
        [...states].map(([name, { keeper, holder }]) => [
          name,
          { role: keeper ? 'keeper' : 'holder', units: (keeper ?? holder)?.units() ?? 0 },
        ]),
      ),
  };
};

export default createShareService;

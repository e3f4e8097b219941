import { documentKinds, type ConfigurationState } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type createKeeperClaims from './createKeeperClaims';
import type createShareExchange from './createShareExchange';
import type createShareRoles from './createShareRoles';
import type ShareState from './shareState';
import updateShareState from './updateShareState';

interface ShareUpkeepOptions {
  configuration: ConfigurationState;
  platform: Platform;
  platformTimeoutMs: number;
  leaseMs: number;
  claims: ReturnType<typeof createKeeperClaims>;
  roles: ReturnType<typeof createShareRoles>;
  exchange: ReturnType<typeof createShareExchange>;
  nowMs(): number;
}

/** A keeper asks the platform whether it still is one at most this often. */
const CONFIRM_INTERVAL_MS = 500;
/** A new keeper asks VMs that have not reported this often. */
const COLLECT_INTERVAL_MS = 1_000;
/** A holder reports at most this often, a changed demand that often, an unchanged one rarely. */
const MIN_SYNC_MS = 200;
const CHANGED_SYNC_MS = 1_000;
const UNCHANGED_SYNC_MS = 10_000;
const LEASE_SYNC_RATIO = 0.25;
const DEMAND_CHANGE_RATIO = 0.25;
const MIN_DEMAND_CHANGE_PER_S = 0.5;

/** What a keeper or a holder of a share does from time to time, also without requests. */
const createShareUpkeep = (options: ShareUpkeepOptions) => {
  const { configuration, platform, platformTimeoutMs, leaseMs } = options;
  const { claims, roles, exchange, nowMs } = options;

  /** Reads at the platform whether this VM still is the keeper. */
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

  /** Once in each epoch, takes VMs off the record that left long ago. */
  const prune = async (state: ShareState): Promise<void> => {
    const { keeper } = state;
    if (!keeper?.isMinted() || state.prunedEpoch === keeper.epoch) return;
    updateShareState(state, { prunedEpoch: keeper.epoch });
    const isDone = await claims.prune(state.name, keeper.holding());
    if (!isDone) updateShareState(state, { prunedEpoch: 0 });
  };

  const isSyncDue = (state: ShareState): boolean => {
    if (!state.holder || state.gathering) return false;
    const sinceMs = nowMs() - state.lastSyncAtMs;
    if (state.isSyncDue) return sinceMs >= MIN_SYNC_MS;
    const demandPerS = state.holder.demandPerS(nowMs());
    if (state.holder.units(nowMs()) === 0 && demandPerS < MIN_DEMAND_CHANGE_PER_S) return false;
    const change = Math.abs(demandPerS - state.lastDemandPerS);
    const isChanged =
      change > Math.max(MIN_DEMAND_CHANGE_PER_S, state.lastDemandPerS * DEMAND_CHANGE_RATIO);
    if (isChanged && sinceMs >= CHANGED_SYNC_MS) return true;
    return sinceMs >= Math.min(UNCHANGED_SYNC_MS, leaseMs * LEASE_SYNC_RATIO);
  };

  return async (state: ShareState): Promise<void> => {
    if (!roles.refresh(state)) return;
    await exchange.claimIfOrphaned(state);
    if (needsReports(state)) await exchange.collectReports(state);
    if (needsConfirmation(state)) await confirm(state);
    await prune(state);
    if (isSyncDue(state)) await exchange.sync(state, false);
  };
};

export default createShareUpkeep;

import { documentKinds, type ConfigurationState } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type createShareRecordWriter from './createShareRecordWriter';
import type createShareProtocol from './createShareProtocol';
import type createShareRoles from './createShareRoles';
import type ShareState from './shareState';
import updateShareState from './updateQuotaState';

interface ShareMaintenanceOptions {
  configuration: ConfigurationState;
  platform: Platform;
  platformTimeoutMs: number;
  leaseMs: number;
  recordWriter: ReturnType<typeof createShareRecordWriter>;
  roles: ReturnType<typeof createShareRoles>;
  protocol: ReturnType<typeof createShareProtocol>;
  nowMs(): number;
}

/** Shortest interval between a keeper's reads of its record at the platform. */
const CONFIRM_INTERVAL_MS = 500;
/** Interval at which a new keeper asks VMs that have not reported. */
const COLLECT_INTERVAL_MS = 1_000;
/** A holder's report intervals: the shortest, after a change of demand, and without one. */
const MIN_SYNC_INTERVAL_MS = 200;
const CHANGED_SYNC_INTERVAL_MS = 1_000;
const UNCHANGED_SYNC_INTERVAL_MS = 10_000;
const SYNC_INTERVAL_LEASE_RATIO = 0.25;
const DEMAND_CHANGE_RATIO = 0.25;
const MIN_DEMAND_CHANGE_PER_S = 0.5;

/** Creates the function that does the periodic work of a share's keeper or holder. */
const createShareMaintenance = (options: ShareMaintenanceOptions) => {
  const { configuration, platform, platformTimeoutMs, leaseMs } = options;
  const { recordWriter, roles, protocol, nowMs } = options;

  /** Reads the share's record at the platform to confirm that this VM still is the keeper. */
  const confirmKeeper = async (state: ShareState): Promise<void> => {
    const sentAtMs = nowMs();
    updateShareState(state, { nextConfirmationAtMs: sentAtMs + CONFIRM_INTERVAL_MS });
    const key = documentKinds.share.prefix + state.name;
    const { entries } = await platform.range(key, platformTimeoutMs);
    configuration.applyChanges(
      0,
      entries.filter((entry) => entry.key === key),
    );
    const record = roles.refresh(state);
    if (state.keeper && state.keeper.epoch === record?.epoch) {
      state.keeper.confirm(sentAtMs, nowMs());
      updateShareState(state, {
        authorityConfirmedAtMs: Math.max(state.authorityConfirmedAtMs, sentAtMs),
      });
    }
  };

  const shouldConfirm = (state: ShareState): boolean => {
    if (!state.keeper || nowMs() < state.nextConfirmationAtMs) return false;
    const isConfirmationAgeing = nowMs() - state.authorityConfirmedAtMs > leaseMs / 2;
    return isConfirmationAgeing || state.keeper.needsConfirmation(nowMs());
  };

  const shouldCollectReports = (state: ShareState): boolean => {
    if (!state.keeper || state.keeper.isMinted() || nowMs() < state.nextCollectionAtMs)
      return false;
    updateShareState(state, { nextCollectionAtMs: nowMs() + COLLECT_INTERVAL_MS });
    return true;
  };

  /** Once per epoch, removes VMs that left the fleet and hold no units from the record. */
  const pruneRecord = async (state: ShareState): Promise<void> => {
    const { keeper } = state;
    if (!keeper?.isMinted() || state.prunedEpoch === keeper.epoch) return;
    updateShareState(state, { prunedEpoch: keeper.epoch });
    const isDone = await recordWriter.prune(state.name, keeper.holding());
    if (!isDone) updateShareState(state, { prunedEpoch: 0 });
  };

  const isSyncDue = (state: ShareState): boolean => {
    if (!state.holder || state.pendingTokenRequest) return false;
    const sinceSyncMs = nowMs() - state.lastSyncAtMs;
    if (state.isSyncDue) return sinceSyncMs >= MIN_SYNC_INTERVAL_MS;
    const demandPerS = state.holder.demandPerS(nowMs());
    if (state.holder.units(nowMs()) === 0 && demandPerS < MIN_DEMAND_CHANGE_PER_S) return false;
    const change = Math.abs(demandPerS - state.lastDemandPerS);
    const isChanged =
      change > Math.max(MIN_DEMAND_CHANGE_PER_S, state.lastDemandPerS * DEMAND_CHANGE_RATIO);
    if (isChanged && sinceSyncMs >= CHANGED_SYNC_INTERVAL_MS) return true;
    return sinceSyncMs >= Math.min(UNCHANGED_SYNC_INTERVAL_MS, leaseMs * SYNC_INTERVAL_LEASE_RATIO);
  };

  return async (state: ShareState): Promise<void> => {
    if (!roles.refresh(state)) return;
    await protocol.claimIfOrphaned(state);
    if (shouldCollectReports(state)) await protocol.collectReports(state);
    if (shouldConfirm(state)) await confirmKeeper(state);
    await pruneRecord(state);
    if (isSyncDue(state)) await protocol.sync(state, false);
  };
};

export default createShareMaintenance;

import { documentKinds, type ConfigurationState } from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import type createQuotaRecordWriter from './createQuotaRecordWriter';
import type createQuotaProtocol from './createQuotaProtocol';
import type createQuotaRoles from './createQuotaRoles';
import type QuotaState from './quotaState';
import updateQuotaState from './updateQuotaState';

interface QuotaMaintenanceOptions {
  configuration: ConfigurationState;
  platform: ConfigurationStore;
  platformTimeoutMs: number;
  leaseMs: number;
  recordWriter: ReturnType<typeof createQuotaRecordWriter>;
  roles: ReturnType<typeof createQuotaRoles>;
  protocol: ReturnType<typeof createQuotaProtocol>;
  nowMs(): number;
}

/** Shortest interval between an allocator's reads of its record in the configuration store. */
const CONFIRM_INTERVAL_MS = 500;
/** Interval at which a new allocator asks VMs that have not reported. */
const COLLECT_INTERVAL_MS = 1_000;
/** A consumer's report intervals: the shortest, after a change of demand, and without one. */
const MIN_REPORT_INTERVAL_MS = 200;
const CHANGED_REPORT_INTERVAL_MS = 1_000;
const MAX_REPORT_INTERVAL_MS = 10_000;
const REPORT_INTERVAL_LEASE_RATIO = 0.25;
const DEMAND_CHANGE_RATIO = 0.25;
const MIN_DEMAND_CHANGE_PER_S = 0.5;

/** Creates the function that does the periodic work of a quota's allocator or consumer. */
const createQuotaMaintenance = (options: QuotaMaintenanceOptions) => {
  const { configuration, platform, platformTimeoutMs, leaseMs } = options;
  const { recordWriter, roles, protocol, nowMs } = options;

  /** Reads the quota's stored record to confirm that this VM still is the allocator. */
  const confirmRole = async (state: QuotaState): Promise<void> => {
    const sentAtMs = nowMs();
    updateQuotaState(state, { nextConfirmationAtMs: sentAtMs + CONFIRM_INTERVAL_MS });
    const key = documentKinds.share.prefix + state.name;
    const { entries } = await platform.range(key, platformTimeoutMs);
    configuration.applyChanges(
      0,
      entries.filter((entry) => entry.key === key),
    );
    const record = roles.refresh(state);
    if (state.keeper && state.keeper.epoch === record?.epoch) {
      state.keeper.confirmEpoch(sentAtMs, nowMs());
      updateQuotaState(state, {
        authorityConfirmedAtMs: Math.max(state.authorityConfirmedAtMs, sentAtMs),
      });
    }
  };

  const shouldConfirm = (state: QuotaState): boolean => {
    if (!state.keeper || nowMs() < state.nextConfirmationAtMs) return false;
    const isConfirmationAgeing = nowMs() - state.authorityConfirmedAtMs > leaseMs / 2;
    return isConfirmationAgeing || state.keeper.needsEpochConfirmation(nowMs());
  };

  const shouldCollectReports = (state: QuotaState): boolean => {
    if (!state.keeper || state.keeper.areAllUnitsClaimed() || nowMs() < state.nextCollectionAtMs)
      return false;
    updateQuotaState(state, { nextCollectionAtMs: nowMs() + COLLECT_INTERVAL_MS });
    return true;
  };

  /** Once per epoch, removes unregistered VMs that hold no units from the record. */
  const pruneRecord = async (state: QuotaState): Promise<void> => {
    const { keeper: allocator } = state;
    if (!allocator?.areAllUnitsClaimed() || state.prunedEpoch === allocator.epoch) return;
    updateQuotaState(state, { prunedEpoch: allocator.epoch });
    const isDone = await recordWriter.prune(state.name, allocator.holding());
    if (!isDone) updateQuotaState(state, { prunedEpoch: 0 });
  };

  const isReportDue = (state: QuotaState): boolean => {
    if (!state.consumer || state.pendingTokenRequest) return false;
    const sinceReportMs = nowMs() - state.lastReportAtMs;
    if (state.isReportDue) return sinceReportMs >= MIN_REPORT_INTERVAL_MS;
    const demandPerS = state.consumer.demandPerS(nowMs());
    if (state.consumer.units(nowMs()) === 0 && demandPerS < MIN_DEMAND_CHANGE_PER_S) return false;
    const change = Math.abs(demandPerS - state.lastDemandPerS);
    const isChanged =
      change > Math.max(MIN_DEMAND_CHANGE_PER_S, state.lastDemandPerS * DEMAND_CHANGE_RATIO);
    if (isChanged && sinceReportMs >= CHANGED_REPORT_INTERVAL_MS) return true;
    return sinceReportMs >= Math.min(MAX_REPORT_INTERVAL_MS, leaseMs * REPORT_INTERVAL_LEASE_RATIO);
  };

  return async (state: QuotaState): Promise<void> => {
    if (!roles.refresh(state)) return;
    await protocol.claimIfOrphaned(state);
    if (shouldCollectReports(state)) await protocol.collectReports(state);
    if (shouldConfirm(state)) await confirmRole(state);
    await pruneRecord(state);
    if (isReportDue(state)) await protocol.reportInTurn(state, false);
  };
};

export default createQuotaMaintenance;

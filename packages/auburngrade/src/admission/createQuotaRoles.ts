import {
  createQuotaConsumer,
  createQuotaAllocator,
  type ConfigurationState,
  type QuotaRecord,
  type VmLease,
} from '@auburngrade/coordination';
import type QuotaState from './quotaState';
import updateQuotaState from './updateQuotaState';

interface QuotaRolesOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  leaseMs: number;
  /** This VM's lease; units and allocator roles are lost when it expires. */
  lease: VmLease;
  /** Monotonic time of the configuration store's last confirmation of the known configuration. */
  confirmedAtMs(): number;
  nowMs(): number;
}

/** A consumer's lease may start one lease after the claim; the rest allows for clock drift. */
const EXPIRY_LEASE_RATIO = 2.02;
const EXPIRY_MARGIN_MS = 5_000;

/** Creates the functions that derive this VM's role, allocator or consumer, from a quota's record. */
const createQuotaRoles = (options: QuotaRolesOptions) => {
  const { vm, incarnation, configuration, leaseMs, lease, confirmedAtMs, nowMs } = options;

  const findUnreportedVms = (state: QuotaState, record: QuotaRecord): Set<string> => {
    if (state.claim?.epoch === record.epoch) return state.claim.unreportedVms;
    return new Set((record.holding ?? record.holders).filter((consumer) => consumer !== vm));
  };

  const becomeAllocator = (state: QuotaState, record: QuotaRecord): void => {
    const now = nowMs();
    const ownBalance = state.consumer?.drain(now) ?? state.keeper?.drain(now);
    const allocator = createQuotaAllocator({
      limit: state.limit,
      epoch: record.epoch,
      unreportedVms: findUnreportedVms(state, record),
      former: new Set(record.former.filter((earlier) => earlier !== vm)),
      initialUnits: ownBalance?.units ?? 0,
      initialTokens: ownBalance?.tokens ?? 0,
      leaseMs,
      lease,
      unreportedExpireAtMs: now + leaseMs * EXPIRY_LEASE_RATIO + EXPIRY_MARGIN_MS,
      nowMs: now,
    });
    updateQuotaState(state, { keeper: allocator, consumer: undefined, isTransferring: false });
  };

  const becomeConsumer = (state: QuotaState): void => {
    const now = nowMs();
    const ownBalance = state.keeper?.drain(now);
    const consumer = createQuotaConsumer({
      share: state.name,
      vm,
      incarnation,
      limit: state.limit,
      leaseMs,
      lease,
      nowMs: now,
      initialUnits: ownBalance?.units,
      initialTokens: ownBalance?.tokens,
      leaseExpiresAtMs: ownBalance ? state.authorityConfirmedAtMs + 2 * leaseMs : undefined,
    });
    updateQuotaState(state, {
      consumer,
      keeper: undefined,
      isTransferring: false,
      isReportDue: true,
    });
  };

  /** An allocator whose VM's lease has expired must never become active again in its epoch. */
  const dropExpiredAllocator = (state: QuotaState): void => {
    if (!state.keeper || state.keeper.isActive(nowMs())) return;
    updateQuotaState(state, { lostEpoch: state.keeper.epoch, keeper: undefined });
  };

  /**
   * An epoch claimed under a lease that has lapsed since is lost: another VM may have proven that,
   * and claimed the next epoch with all units, before this VM learned that its claim was written.
   */
  const dropExpiredClaim = ({ epoch }: QuotaRecord, state: QuotaState): void => {
    if (state.claim?.epoch !== epoch || state.keeper?.epoch === epoch) return;
    if (state.claim.leaseGeneration === lease.currentGeneration(nowMs())) return;
    updateQuotaState(state, { lostEpoch: epoch });
  };

  return {
    /** Updates the role to match the quota's record and returns the record. */
    refresh: (state: QuotaState): QuotaRecord | undefined => {
      const record = configuration.get('share', state.name);
      dropExpiredAllocator(state);
      if (!record) return undefined;
      const isAllocator = record.keeper === vm && record.incarnation === incarnation;
      if (!isAllocator) {
        if (!state.consumer) becomeConsumer(state);
        return record;
      }
      const authorityConfirmedAtMs = Math.max(state.authorityConfirmedAtMs, confirmedAtMs());
      updateQuotaState(state, { authorityConfirmedAtMs });
      dropExpiredClaim(record, state);
      if (record.epoch === state.lostEpoch) return record;
      if (state.keeper?.epoch !== record.epoch) becomeAllocator(state, record);
      return record;
    },
    /** False when another VM may have become the allocator without this VM having learned of it. */
    hasAuthority: (state: QuotaState): boolean =>
      !state.isTransferring && nowMs() < state.authorityConfirmedAtMs + leaseMs,
  };
};

export default createQuotaRoles;

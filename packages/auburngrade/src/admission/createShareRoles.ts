import {
  createShareHolder,
  createShareKeeper,
  type ConfigurationState,
  type ShareRecord,
  type VmLease,
} from '@auburngrade/coordination';
import type ShareState from './shareState';
import updateShareState from './updateQuotaState';

interface ShareRolesOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  leaseMs: number;
  /** This VM's lease; units and keeper roles are lost when it lapses. */
  lease: VmLease;
  /** Monotonic time of the platform's last confirmation of the known configuration. */
  confirmedAtMs(): number;
  nowMs(): number;
}

/** A holder's lease may start one lease after the claim; the rest allows for clock drift. */
const LAPSE_LEASE_RATIO = 2.02;
const LAPSE_MARGIN_MS = 5_000;

/** Creates the functions that derive this VM's role, keeper or holder, from a share's record. */
const createShareRoles = (options: ShareRolesOptions) => {
  const { vm, incarnation, configuration, leaseMs, lease, confirmedAtMs, nowMs } = options;

  const findUnreportedVms = (state: ShareState, record: ShareRecord): Set<string> => {
    if (state.claim?.epoch === record.epoch) return state.claim.unreported;
    return new Set((record.holding ?? record.holders).filter((holder) => holder !== vm));
  };

  const becomeKeeper = (state: ShareState, record: ShareRecord): void => {
    const now = nowMs();
    const ownBalance = state.holder?.resign(now) ?? state.keeper?.resign(now);
    const keeper = createShareKeeper({
      limit: state.limit,
      epoch: record.epoch,
      unreported: findUnreportedVms(state, record),
      former: new Set(record.former.filter((earlier) => earlier !== vm)),
      ownUnits: ownBalance?.units ?? 0,
      ownTokens: ownBalance?.tokens ?? 0,
      leaseMs,
      lease,
      lapsedAtMs: now + leaseMs * LAPSE_LEASE_RATIO + LAPSE_MARGIN_MS,
      nowMs: now,
    });
    updateShareState(state, { keeper, holder: undefined, isTransferring: false });
  };

  const becomeHolder = (state: ShareState): void => {
    const now = nowMs();
    const ownBalance = state.keeper?.resign(now);
    const holder = createShareHolder({
      share: state.name,
      vm,
      incarnation,
      limit: state.limit,
      leaseMs,
      lease,
      nowMs: now,
      initialUnits: ownBalance?.units,
      initialTokens: ownBalance?.tokens,
      leaseEndsAtMs: ownBalance ? state.authorityConfirmedAtMs + 2 * leaseMs : undefined,
    });
    updateShareState(state, { holder, keeper: undefined, isTransferring: false, isSyncDue: true });
  };

  /** A keeper whose VM's lease has lapsed must never act again in its epoch. */
  const dropLapsedKeeper = (state: ShareState): void => {
    if (!state.keeper || state.keeper.isInOffice(nowMs())) return;
    updateShareState(state, { lostEpoch: state.keeper.epoch, keeper: undefined });
  };

  return {
    /** Updates the role to match the share's record and returns the record. */
    refresh: (state: ShareState): ShareRecord | undefined => {
      const record = configuration.get('share', state.name);
      dropLapsedKeeper(state);
      if (!record) return undefined;
      const isKeeper = record.keeper === vm && record.incarnation === incarnation;
      if (!isKeeper) {
        if (!state.holder) becomeHolder(state);
        return record;
      }
      const authorityConfirmedAtMs = Math.max(state.authorityConfirmedAtMs, confirmedAtMs());
      updateShareState(state, { authorityConfirmedAtMs });
      if (record.epoch === state.lostEpoch) return record;
      if (state.keeper?.epoch !== record.epoch) becomeKeeper(state, record);
      return record;
    },
    /** False when another VM may have become the keeper without this VM having learned of it. */
    hasAuthority: (state: ShareState): boolean =>
      !state.isTransferring && nowMs() < state.authorityConfirmedAtMs + leaseMs,
  };
};

export default createShareRoles;

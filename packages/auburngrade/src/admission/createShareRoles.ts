import {
  createShareHolder,
  createShareKeeper,
  type ConfigurationState,
  type ShareRecord,
  type VmLease,
} from '@auburngrade/coordination';
import type ShareState from './shareState';
import updateShareState from './updateShareState';

interface ShareRolesOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  leaseMs: number;
  /** The VM's lease, under which it holds units and keeps ledgers. */
  lease: VmLease;
  /** Monotonic time of the platform's last confirmation of the known configuration. */
  confirmedAtMs(): number;
  nowMs(): number;
}

/** A holder's lease may begin a lease after the claim; clocks may differ by the margin. */
const LAPSE_LEASES = 2.02;
const LAPSE_MARGIN_MS = 5_000;

/** Makes this VM the keeper or a holder of a share, as the platform's record says. */
const createShareRoles = (options: ShareRolesOptions) => {
  const { vm, incarnation, configuration, leaseMs, lease, confirmedAtMs, nowMs } = options;

  const unreportedOf = (state: ShareState, record: ShareRecord): Set<string> => {
    if (state.claim?.epoch === record.epoch) return state.claim.unreported;
    return new Set((record.holding ?? record.holders).filter((holder) => holder !== vm));
  };

  const becomeKeeper = (state: ShareState, record: ShareRecord): void => {
    const now = nowMs();
    const own = state.holder?.resign(now) ?? state.keeper?.resign(now);
    const keeper = createShareKeeper({
      limit: state.limit,
      epoch: record.epoch,
      unreported: unreportedOf(state, record),
      former: new Set(record.former.filter((earlier) => earlier !== vm)),
      ownUnits: own?.units ?? 0,
      ownTokens: own?.tokens ?? 0,
      leaseMs,
      lease,
      lapsedAtMs: now + leaseMs * LAPSE_LEASES + LAPSE_MARGIN_MS,
      nowMs: now,
    });
    updateShareState(state, { keeper, holder: undefined, isPassing: false });
  };

  const becomeHolder = (state: ShareState): void => {
    const now = nowMs();
    const own = state.keeper?.resign(now);
    const holder = createShareHolder({
      share: state.name,
      vm,
      incarnation,
      limit: state.limit,
      leaseMs,
      lease,
      nowMs: now,
      initialUnits: own?.units,
      initialTokens: own?.tokens,
      leaseEndsAtMs: own ? state.authorityAtMs + 2 * leaseMs : undefined,
    });
    updateShareState(state, { holder, keeper: undefined, isPassing: false, isSyncDue: true });
  };

  /** A keeper whose VM's lease has lapsed never acts again in its epoch. */
  const noteLoss = (state: ShareState): void => {
    if (!state.keeper || state.keeper.isInOffice(nowMs())) return;
    updateShareState(state, { lostEpoch: state.keeper.epoch, keeper: undefined });
  };

  return {
    /** Brings the state's role in line with the record, and gives the record. */
    refresh: (state: ShareState): ShareRecord | undefined => {
      const record = configuration.get('share', state.name);
      noteLoss(state);
      if (!record) return undefined;
      const isKeeper = record.keeper === vm && record.incarnation === incarnation;
      if (!isKeeper) {
        if (!state.holder) becomeHolder(state);
        return record;
      }
      const authorityAtMs = Math.max(state.authorityAtMs, confirmedAtMs());
      updateShareState(state, { authorityAtMs });
      if (record.epoch === state.lostEpoch) return record;
      if (state.keeper?.epoch !== record.epoch) becomeKeeper(state, record);
      return record;
    },
    /** False when another VM may have become the keeper without this VM's knowledge. */
    hasAuthority: (state: ShareState): boolean =>
      !state.isPassing && nowMs() < state.authorityAtMs + leaseMs,
  };
};

export default createShareRoles;

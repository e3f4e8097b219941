import {
  shareGrantSchema,
  shareSyncSchema,
  type ConfigurationState,
  type ShareGrant,
  type ShareRecord,
} from '@auburngrade/coordination';
import { z } from 'zod';
import createMessenger from '../membership/createMessenger';
import type MessageHandler from '../membership/messageHandler';
import type PeerRegistry from '../routing/peerRegistry';
import answerWithin from '../time/answerWithin';
import type LeaseService from '../witness/leaseService';
import type createKeeperClaims from './createKeeperClaims';
import NO_KEEPER from './noKeeper';
import type createShareRoles from './createShareRoles';
import type ShareState from './shareState';
import updateShareState from './updateShareState';

interface ShareExchangeOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  peers: PeerRegistry;
  leases: LeaseService;
  /** How long a VM may spend its share without an answer of the share's keeper. */
  leaseMs: number;
  claims: ReturnType<typeof createKeeperClaims>;
  roles: ReturnType<typeof createShareRoles>;
  /** The state of a share; undefined when the account has no limit. */
  stateOf(name: string): ShareState | undefined;
  nowMs(): number;
}

const SYNC_KIND = 'share.sync';
const RECALL_KIND = 'share.recall';
const EXCHANGE_TIMEOUT_MS = 300;
/** How long a keeper waits for units that it asked holders for. */
const RECALL_WAIT_MS = 100;
/** Tokens that a holder asks for at a time: the demand of this time. */
const NEED_AHEAD_S = 0.1;
/** A holder that did not answer is not asked again for this time, so that others are. */
const SILENT_MS = 500;
/** A keeper that has not answered for this time is replaced once its lease has lapsed. */
const SUSPECT_MS = 500;
/** One that is not listed any more is replaced unproven after this time. */
const UNLISTED_MS = 30_000;

const recallSchema = z.strictObject({
  share: z.string().min(1),
  /** Asks for a report also when there is nothing to give back. */
  mustReport: z.boolean(),
  /** The part that the holder's demand gives it; it is to keep no more. */
  partUnits: z.number().int().nonnegative().optional(),
});
const recalledSchema = z.strictObject({ hasReleased: z.boolean() });

/** The messages by which units move between a share's keeper and its holders. */
const createShareExchange = (options: ShareExchangeOptions) => {
  const { vm, incarnation, configuration, peers, leases, leaseMs, claims, roles, stateOf, nowMs } =
    options;

  const send = createMessenger(vm, incarnation, peers);

  const noteUnreachable = (state: ShareState): void => {
    updateShareState(state, { unreachableSinceMs: state.unreachableSinceMs ?? nowMs() });
  };

  const syncNow = async (state: ShareState, hasNeed: boolean): Promise<boolean> => {
    const record = roles.refresh(state);
    const { holder } = state;
    if (!record || !holder?.isStanding(nowMs())) return false;
    const demandPerS = holder.demandPerS(nowMs());
    const needed = hasNeed ? Math.max(1, state.waiting, demandPerS * NEED_AHEAD_S) : 0;
    updateShareState(state, {
      lastSyncAtMs: nowMs(),
      lastDemandPerS: demandPerS,
      isSyncDue: false,
    });
    const report = holder.report(record.epoch, needed, nowMs());
    try {
      const reply = await send(record.keeper, SYNC_KIND, report, EXCHANGE_TIMEOUT_MS);
      const grant = shareGrantSchema.parse(reply.body);
      holder.accept(grant, nowMs());
      const isLowered = grant.kind === 'granted' && grant.units < report.heldUnits;
      updateShareState(state, {
        unreachableSinceMs: undefined,
        isSyncDue: state.isSyncDue || isLowered,
      });
      return grant.kind === 'granted' && grant.hasAskedAll;
    } catch {
      noteUnreachable(state);
      return false;
    }
  };

  /**
   * Reports to the keeper; resolves with whether the keeper and those it asked
   * answered. One report is under way at a time: a later one voids the answer, and
   * the tokens in it, of an earlier one.
   */
  const sync = async (state: ShareState, hasNeed: boolean): Promise<boolean> => {
    while (state.syncing) await state.syncing;
    const syncing = syncNow(state, hasNeed).finally(() => {
      updateShareState(state, { syncing: undefined });
    });
    updateShareState(state, { syncing });
    return syncing;
  };

  /** Takes back what a silent holder has once its lease has lapsed. */
  const takeBack = async (state: ShareState, target: string): Promise<void> => {
    const { keeper } = state;
    const seen = keeper?.allotmentOf(target);
    if (!keeper || !seen || seen.units === 0) return;
    const isLapsed = await leases.prove(target, seen.lease);
    if (!isLapsed || !roles.hasAuthority(state)) return;
    keeper.noteLapsed(target, seen, nowMs());
  };

  /** Goes on without a silent holder's report once its lease has lapsed. */
  const giveUpReport = async (state: ShareState, target: string): Promise<void> => {
    const { keeper } = state;
    if (keeper && (await leases.proveByRecord(target))) keeper.noteGone(target, nowMs());
  };

  const recallOne = async (
    state: ShareState,
    target: string,
    mustReport: boolean,
    partUnits?: number,
  ): Promise<boolean> => {
    try {
      const body = { share: state.name, mustReport, partUnits };
      const reply = await send(target, RECALL_KIND, body, EXCHANGE_TIMEOUT_MS);
      recalledSchema.parse(reply.body);
      state.keeper?.noteIncarnation(target, reply.incarnation, nowMs());
      return true;
    } catch {
      state.silentUntilMs.set(target, nowMs() + SILENT_MS);
      const work = mustReport ? giveUpReport(state, target) : takeBack(state, target);
      work.catch(() => {});
      return false;
    }
  };

  /** Asks the holders with most units for what they do not need; true when all answered. */
  const recall = async (state: ShareState, exceptVm?: string): Promise<boolean> => {
    const isSilent = (holder: string): boolean => nowMs() < (state.silentUntilMs.get(holder) ?? 0);
    const isAsked = (holder: string): boolean => holder !== exceptVm && !isSilent(holder);
    const targets = state.keeper?.recallable(isAsked, nowMs()) ?? [];
    const isOneSilent = state.keeper?.holding().some(isSilent) ?? false;
    const answers = Promise.all(
      targets.map((target) => recallOne(state, target.vm, false, target.partUnits)),
    );
    const areAnswered = await answerWithin(
      RECALL_WAIT_MS,
      answers.then((all) => all.every(Boolean)),
    );
    // Until all units are claimed some may be where nobody was asked.
    const isAnswered = areAnswered && !isOneSilent && (state.keeper?.isMinted() ?? false);
    updateShareState(state, { isAnswered });
    return isAnswered;
  };

  const onSync = async (_fromVm: string, body: unknown): Promise<ShareGrant> => {
    const report = shareSyncSchema.parse(body);
    const state = stateOf(report.share);
    if (!state) return { kind: 'refused', reason: 'unknown share' };
    roles.refresh(state);
    if (!state.keeper || !roles.hasAuthority(state)) {
      return { kind: 'refused', reason: 'not the keeper' };
    }
    if (!(await claims.addHolder(state.name, report.vm))) {
      return { kind: 'refused', reason: 'not recorded as a holder' };
    }
    const isDry = report.neededTokens > 0 && state.keeper.tokens(nowMs()) < 1;
    if (isDry && nowMs() >= state.gatherAfterMs) await recall(state, report.vm);
    const { keeper } = state;
    if (!keeper || !roles.hasAuthority(state)) return { kind: 'refused', reason: 'not the keeper' };
    const grant = keeper.sync(report, nowMs(), state.waiting);
    const hasAskedAll = !isDry || state.isAnswered;
    return grant.kind === 'granted' ? { ...grant, hasAskedAll } : grant;
  };

  const giveBack = async (
    state: ShareState,
    mustReport: boolean,
    partUnits?: number,
  ): Promise<boolean> => {
    const hasReleased =
      !mustReport && (state.holder?.release(nowMs(), partUnits, state.waiting) ?? false);
    if (hasReleased || mustReport) await sync(state, false);
    return hasReleased;
  };

  const giveBackLater = (
    state: ShareState,
    syncing: Promise<boolean>,
    mustReport: boolean,
    partUnits?: number,
  ): void => {
    if (state.isGivingBack) return;
    updateShareState(state, { isGivingBack: true });
    syncing
      .then(() => giveBack(state, mustReport, partUnits))
      .catch(() => {})
      .finally(() => updateShareState(state, { isGivingBack: false }));
  };

  const onRecall = async (
    _fromVm: string,
    body: unknown,
  ): Promise<z.infer<typeof recalledSchema>> => {
    const { share, mustReport, partUnits } = recallSchema.parse(body);
    const state = stateOf(share);
    if (!state) return { hasReleased: false };
    roles.refresh(state);
    if (state.syncing) {
      // Its answer would give back what is released now, and may itself wait for this one.
      giveBackLater(state, state.syncing, mustReport, partUnits);
      return { hasReleased: false };
    }
    return { hasReleased: await giveBack(state, mustReport, partUnits) };
  };

  const claim = async (state: ShareState, goneVm?: string): Promise<void> => {
    updateShareState(state, { unreachableSinceMs: undefined });
    await claims.claim(state, goneVm);
    roles.refresh(state);
  };

  /** Claims the share once the keeper's lease has lapsed, unless another VM was faster. */
  const replace = async (state: ShareState, record: ShareRecord): Promise<void> => {
    const isLapsed = await leases.proveByRecord(record.keeper);
    if (isLapsed && configuration.get('share', state.name)?.epoch === record.epoch) {
      await claim(state, record.keeper);
    }
  };

  const replaceInBackground = (state: ShareState, record: ShareRecord): void => {
    if (state.replacing) return;
    const replacing = replace(state, record)
      .catch(() => {})
      .finally(() => updateShareState(state, { replacing: undefined }));
    updateShareState(state, { replacing });
  };

  const isFree = (state: ShareState, record: ShareRecord): boolean => {
    if (record.keeper === NO_KEEPER) return true;
    if (record.keeper !== vm) return false;
    return record.incarnation !== incarnation || record.epoch === state.lostEpoch;
  };

  return {
    sync,
    recall,
    /** Asks VMs that may hold units of an earlier epoch to report. */
    collectReports: async (state: ShareState): Promise<void> => {
      const targets = state.keeper?.isMinted() ? [] : (state.keeper?.unreported() ?? []);
      await Promise.all(targets.map((target) => recallOne(state, target, true)));
    },
    /** Claims the share when it has no keeper or the keeper is gone. */
    claimIfOrphaned: async (state: ShareState): Promise<void> => {
      const record = configuration.get('share', state.name);
      if (!record || isFree(state, record)) {
        await claim(state);
        return;
      }
      const silentMs = nowMs() - (state.unreachableSinceMs ?? nowMs());
      const isListed = configuration.get('vm', record.keeper) !== undefined;
      if (silentMs > (isListed ? leaseMs : UNLISTED_MS)) await claim(state);
      else if (silentMs > SUSPECT_MS) replaceInBackground(state, record);
    },
    handlers: new Map<string, MessageHandler>([
      [SYNC_KIND, onSync],
      [RECALL_KIND, onRecall],
    ]),
  };
};

export default createShareExchange;

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
import type createShareRecordWriter from './createShareRecordWriter';
import NO_KEEPER from './noAllocator';
import type createShareRoles from './createShareRoles';
import type ShareState from './shareState';
import updateShareState from './updateQuotaState';

interface ShareProtocolOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  peers: PeerRegistry;
  leases: LeaseService;
  /** How long a VM may spend its share after the keeper's last answer. */
  leaseMs: number;
  recordWriter: ReturnType<typeof createShareRecordWriter>;
  roles: ReturnType<typeof createShareRoles>;
  /** Finds or creates a share's state; undefined when the share has no limit. */
  findOrCreateState(name: string): ShareState | undefined;
  nowMs(): number;
}

const SYNC_KIND = 'share.sync';
const RECALL_KIND = 'share.recall';
const MESSAGE_TIMEOUT_MS = 300;
/** How long a keeper waits for the answers to its recalls. */
const RECALL_WAIT_MS = 100;
/** A holder asks for the tokens that its demand needs in this time. */
const TOKEN_PREFETCH_S = 0.1;
/** A holder that did not answer gets no recall for this time, which leaves the turn to others. */
const RECALL_PAUSE_MS = 500;
/** A keeper unreachable for this time is replaced once its lease is proven to have lapsed. */
const KEEPER_SUSPECT_MS = 500;
/** A keeper unreachable for this time that left the fleet is replaced without that proof. */
const UNLISTED_KEEPER_TIMEOUT_MS = 30_000;

const recallSchema = z.strictObject({
  share: z.string().min(1),
  /** Whether the holder must report even if it releases no units. */
  mustReport: z.boolean(),
  /** Units due to the holder by its share of the demand; the most that it may keep. */
  partUnits: z.number().int().nonnegative().optional(),
});
const recallReplySchema = z.strictObject({ hasReleased: z.boolean() });

/** Creates the messages that move units between a share's keeper and its holders. */
const createShareProtocol = (options: ShareProtocolOptions) => {
  const {
    vm,
    incarnation,
    configuration,
    peers,
    leases,
    leaseMs,
    recordWriter,
    roles,
    findOrCreateState,
    nowMs,
  } = options;

  const send = createMessenger(vm, incarnation, peers);

  const markKeeperUnreachable = (state: ShareState): void => {
    updateShareState(state, { unreachableSinceMs: state.unreachableSinceMs ?? nowMs() });
  };

  const sendSync = async (state: ShareState, needsTokens: boolean): Promise<boolean> => {
    const record = roles.refresh(state);
    const { holder } = state;
    if (!record || !holder?.isStanding(nowMs())) return false;
    const demandPerS = holder.demandPerS(nowMs());
    const neededTokens = needsTokens
      ? Math.max(1, state.waiting, demandPerS * TOKEN_PREFETCH_S)
      : 0;
    updateShareState(state, {
      lastSyncAtMs: nowMs(),
      lastDemandPerS: demandPerS,
      isSyncDue: false,
    });
    const report = holder.report(record.epoch, neededTokens, nowMs());
    try {
      const reply = await send(record.keeper, SYNC_KIND, report, MESSAGE_TIMEOUT_MS);
      const grant = shareGrantSchema.parse(reply.body);
      holder.accept(grant, nowMs());
      const isLowered = grant.kind === 'granted' && grant.units < report.heldUnits;
      updateShareState(state, {
        unreachableSinceMs: undefined,
        isSyncDue: state.isSyncDue || isLowered,
      });
      return grant.kind === 'granted' && grant.hasAskedAll;
    } catch {
      markKeeperUnreachable(state);
      return false;
    }
  };

  /**
   * Reports to the keeper; resolves with whether the keeper and all VMs that it asked answered.
   * Reports are sent one at a time: a later report would void the answer to an earlier one and
   * the tokens granted by it.
   */
  const sync = async (state: ShareState, needsTokens: boolean): Promise<boolean> => {
    while (state.pendingSync) await state.pendingSync;
    const pendingSync = sendSync(state, needsTokens).finally(() => {
      updateShareState(state, { pendingSync: undefined });
    });
    updateShareState(state, { pendingSync });
    return pendingSync;
  };

  /** Reclaims the units of an unresponsive holder once its lease has lapsed. */
  const reclaimUnits = async (state: ShareState, target: string): Promise<void> => {
    const { keeper } = state;
    const seenAllotment = keeper?.allotmentOf(target);
    if (!keeper || !seenAllotment || seenAllotment.units === 0) return;
    const isLapsed = await leases.prove(target, seenAllotment.lease);
    if (!isLapsed || !roles.hasAuthority(state)) return;
    keeper.noteLapsed(target, seenAllotment, nowMs());
  };

  /** Stops waiting for an unresponsive holder's report once its lease has lapsed. */
  const skipLapsedReport = async (state: ShareState, target: string): Promise<void> => {
    const { keeper } = state;
    if (keeper && (await leases.proveByRecord(target))) keeper.noteGone(target, nowMs());
  };

  const recallFrom = async (
    state: ShareState,
    target: string,
    mustReport: boolean,
    partUnits?: number,
  ): Promise<boolean> => {
    try {
      const body = { share: state.name, mustReport, partUnits };
      const reply = await send(target, RECALL_KIND, body, MESSAGE_TIMEOUT_MS);
      recallReplySchema.parse(reply.body);
      state.keeper?.noteIncarnation(target, reply.incarnation, nowMs());
      return true;
    } catch {
      state.skipRecallUntilMs.set(target, nowMs() + RECALL_PAUSE_MS);
      const work = mustReport ? skipLapsedReport(state, target) : reclaimUnits(state, target);
      work.catch(() => {});
      return false;
    }
  };

  /** Asks the holders with the most excess units to release them; true when all answered. */
  const recall = async (state: ShareState, requestingVm?: string): Promise<boolean> => {
    const isRecallPaused = (holder: string): boolean =>
      nowMs() < (state.skipRecallUntilMs.get(holder) ?? 0);
    const isRecallTarget = (holder: string): boolean =>
      holder !== requestingVm && !isRecallPaused(holder);
    const targets = state.keeper?.recallable(isRecallTarget, nowMs()) ?? [];
    const isAnyRecallPaused = state.keeper?.holding().some(isRecallPaused) ?? false;
    const answers = Promise.all(
      targets.map((target) => recallFrom(state, target.vm, false, target.partUnits)),
    );
    const areTargetsAnswered = await answerWithin(
      RECALL_WAIT_MS,
      answers.then((all) => all.every(Boolean)),
    );
    // Until the keeper accounts for all units, VMs that were not asked may hold some.
    const isLastRequestAnswered =
      areTargetsAnswered && !isAnyRecallPaused && (state.keeper?.isMinted() ?? false);
    updateShareState(state, { isLastRequestAnswered });
    return isLastRequestAnswered;
  };

  const handleSync = async (_fromVm: string, body: unknown): Promise<ShareGrant> => {
    const report = shareSyncSchema.parse(body);
    const state = findOrCreateState(report.share);
    if (!state) return { kind: 'refused', reason: 'unknown share' };
    roles.refresh(state);
    if (!state.keeper || !roles.hasAuthority(state)) {
      return { kind: 'refused', reason: 'not the keeper' };
    }
    if (!(await recordWriter.addHolder(state.name, report.vm))) {
      return { kind: 'refused', reason: 'not recorded as a holder' };
    }
    const isOutOfTokens = report.neededTokens > 0 && state.keeper.tokens(nowMs()) < 1;
    if (isOutOfTokens && nowMs() >= state.nextTokenRequestAtMs) await recall(state, report.vm);
    const { keeper } = state;
    if (!keeper || !roles.hasAuthority(state)) return { kind: 'refused', reason: 'not the keeper' };
    const grant = keeper.sync(report, nowMs(), state.waiting);
    const hasAskedAll = !isOutOfTokens || state.isLastRequestAnswered;
    return grant.kind === 'granted' ? { ...grant, hasAskedAll } : grant;
  };

  const releaseUnits = async (
    state: ShareState,
    mustReport: boolean,
    partUnits?: number,
  ): Promise<boolean> => {
    const hasReleased =
      !mustReport && (state.holder?.release(nowMs(), partUnits, state.waiting) ?? false);
    if (hasReleased || mustReport) await sync(state, false);
    return hasReleased;
  };

  const scheduleRelease = (
    state: ShareState,
    pendingSync: Promise<boolean>,
    mustReport: boolean,
    partUnits?: number,
  ): void => {
    if (state.isReleaseScheduled) return;
    updateShareState(state, { isReleaseScheduled: true });
    pendingSync
      .then(() => releaseUnits(state, mustReport, partUnits))
      .catch(() => {})
      .finally(() => updateShareState(state, { isReleaseScheduled: false }));
  };

  const handleRecall = async (
    _fromVm: string,
    body: unknown,
  ): Promise<z.infer<typeof recallReplySchema>> => {
    const { share, mustReport, partUnits } = recallSchema.parse(body);
    const state = findOrCreateState(share);
    if (!state) return { hasReleased: false };
    roles.refresh(state);
    if (state.pendingSync) {
      // The pending answer would return units released now, and may itself wait for this recall.
      scheduleRelease(state, state.pendingSync, mustReport, partUnits);
      return { hasReleased: false };
    }
    return { hasReleased: await releaseUnits(state, mustReport, partUnits) };
  };

  const claimShare = async (state: ShareState, lapsedVm?: string): Promise<void> => {
    updateShareState(state, { unreachableSinceMs: undefined });
    await recordWriter.claim(state, lapsedVm);
    roles.refresh(state);
  };

  /** Claims the share once the keeper's lease has lapsed, unless another VM claimed it first. */
  const replaceKeeper = async (state: ShareState, record: ShareRecord): Promise<void> => {
    const isLapsed = await leases.proveByRecord(record.keeper);
    if (isLapsed && configuration.get('share', state.name)?.epoch === record.epoch) {
      await claimShare(state, record.keeper);
    }
  };

  const startReplacement = (state: ShareState, record: ShareRecord): void => {
    if (state.pendingReplacement) return;
    const pendingReplacement = replaceKeeper(state, record)
      .catch(() => {})
      .finally(() => updateShareState(state, { pendingReplacement: undefined }));
    updateShareState(state, { pendingReplacement });
  };

  const isUnclaimed = (state: ShareState, record: ShareRecord): boolean => {
    if (record.keeper === NO_KEEPER) return true;
    if (record.keeper !== vm) return false;
    return record.incarnation !== incarnation || record.epoch === state.lostEpoch;
  };

  return {
    sync,
    recall,
    /** As the keeper, asks VMs that may hold units of an earlier epoch to report. */
    collectReports: async (state: ShareState): Promise<void> => {
      const targets = state.keeper?.isMinted() ? [] : (state.keeper?.unreported() ?? []);
      await Promise.all(targets.map((target) => recallFrom(state, target, true)));
    },
    /** Claims the share if it has no keeper or the keeper has been unreachable for too long. */
    claimIfOrphaned: async (state: ShareState): Promise<void> => {
      const record = configuration.get('share', state.name);
      if (!record || isUnclaimed(state, record)) {
        await claimShare(state);
        return;
      }
      const unreachableMs = nowMs() - (state.unreachableSinceMs ?? nowMs());
      const isListed = configuration.get('vm', record.keeper) !== undefined;
      if (unreachableMs > (isListed ? leaseMs : UNLISTED_KEEPER_TIMEOUT_MS))
        await claimShare(state);
      else if (unreachableMs > KEEPER_SUSPECT_MS) startReplacement(state, record);
    },
    handlers: new Map<string, MessageHandler>([
      [SYNC_KIND, handleSync],
      [RECALL_KIND, handleRecall],
    ]),
  };
};

export default createShareProtocol;

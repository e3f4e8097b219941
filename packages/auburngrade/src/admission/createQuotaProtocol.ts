import {
  quotaGrantSchema,
  quotaReportSchema,
  type ConfigurationState,
  type QuotaGrant,
  type QuotaRecord,
} from '@auburngrade/coordination';
import { z } from 'zod';
import createMessenger from '../membership/createMessenger';
import type MessageHandler from '../membership/messageHandler';
import type PeerRegistry from '../routing/peerRegistry';
import resolveWithin from '../time/resolveWithin';
import type LeaseService from '../witness/leaseService';
import type createQuotaRecordWriter from './createQuotaRecordWriter';
import NO_ALLOCATOR from './noAllocator';
import type createQuotaRoles from './createQuotaRoles';
import type QuotaState from './quotaState';
import updateQuotaState from './updateQuotaState';

interface QuotaProtocolOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  peers: PeerRegistry;
  leases: LeaseService;
  /** How long a VM may use its units after the allocator's last answer. */
  leaseMs: number;
  recordWriter: ReturnType<typeof createQuotaRecordWriter>;
  roles: ReturnType<typeof createQuotaRoles>;
  /** Finds or creates a quota's state; undefined when the quota has no limit. */
  findOrCreateState(name: string): QuotaState | undefined;
  nowMs(): number;
}

const REPORT_KIND = 'share.sync';
const RECALL_KIND = 'share.recall';
const MESSAGE_TIMEOUT_MS = 300;
/** How long an allocator waits for the answers to its recalls. */
const RECALL_WAIT_MS = 100;
/** A consumer asks for the tokens that its demand needs in this time. */
const TOKEN_PREFETCH_S = 0.1;
/** No recall is sent to a consumer for this time after it left one unanswered; others get a turn. */
const RECALL_PAUSE_MS = 500;
/** An allocator unreachable for this time is replaced once its lease is proven to have expired. */
const ALLOCATOR_SUSPECT_MS = 500;
/** An unregistered allocator unreachable for this time is replaced without that proof. */
const UNREGISTERED_ALLOCATOR_TIMEOUT_MS = 30_000;

const recallSchema = z.strictObject({
  share: z.string().min(1),
  /** Whether the consumer must report even if it releases no units. */
  mustReport: z.boolean(),
  /** The consumer's fair share by its demand, in units; the most that it may retain. */
  partUnits: z.number().int().nonnegative().optional(),
});
const recallReplySchema = z.strictObject({ hasReleased: z.boolean() });

/** Creates the messages that move units between a quota's allocator and its consumers. */
const createQuotaProtocol = (options: QuotaProtocolOptions) => {
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

  const markAllocatorUnreachable = (state: QuotaState): void => {
    updateQuotaState(state, { unreachableSinceMs: state.unreachableSinceMs ?? nowMs() });
  };

  const sendReport = async (state: QuotaState, needsTokens: boolean): Promise<boolean> => {
    const record = roles.refresh(state);
    const { consumer } = state;
    if (!record || !consumer?.isStanding(nowMs())) return false;
    const demandPerS = consumer.demandPerS(nowMs());
    const neededTokens = needsTokens
      ? Math.max(1, state.waiting, demandPerS * TOKEN_PREFETCH_S)
      : 0;
    updateQuotaState(state, {
      lastReportAtMs: nowMs(),
      lastDemandPerS: demandPerS,
      isReportDue: false,
    });
    const report = consumer.report(record.epoch, neededTokens, nowMs());
    try {
      const reply = await send(record.keeper, REPORT_KIND, report, MESSAGE_TIMEOUT_MS);
      const grant = quotaGrantSchema.parse(reply.body);
      consumer.applyGrant(grant, nowMs());
      const isLowered = grant.kind === 'granted' && grant.units < report.heldUnits;
      updateQuotaState(state, {
        unreachableSinceMs: undefined,
        isReportDue: state.isReportDue || isLowered,
      });
      return grant.kind === 'granted' && grant.hasAskedAll;
    } catch {
      markAllocatorUnreachable(state);
      return false;
    }
  };

  /**
   * Reports to the allocator; resolves with whether it and all VMs that it asked answered.
   * Reports are sent one at a time: a later report invalidates the answer to an earlier one and
   * the tokens granted by it.
   */
  const reportInTurn = async (state: QuotaState, needsTokens: boolean): Promise<boolean> => {
    while (state.pendingReport) await state.pendingReport;
    const pendingReport = sendReport(state, needsTokens).finally(() => {
      updateQuotaState(state, { pendingReport: undefined });
    });
    updateQuotaState(state, { pendingReport });
    return pendingReport;
  };

  /** Reclaims the units of an unresponsive consumer once its lease has expired. */
  const reclaimUnits = async (state: QuotaState, target: string): Promise<void> => {
    const { keeper: allocator } = state;
    const observedAllocation = allocator?.allocationOf(target);
    if (!allocator || !observedAllocation || observedAllocation.units === 0) return;
    const hasExpired = await leases.prove(target, observedAllocation.lease);
    if (!hasExpired || !roles.hasAuthority(state)) return;
    allocator.reclaimExpiredVm(target, observedAllocation, nowMs());
  };

  /** Stops waiting for an unresponsive consumer's report once its lease has expired. */
  const skipExpiredReport = async (state: QuotaState, target: string): Promise<void> => {
    const { keeper: allocator } = state;
    if (allocator && (await leases.proveByRecord(target)))
      allocator.clearUnreported(target, nowMs());
  };

  const recallFrom = async (
    state: QuotaState,
    target: string,
    mustReport: boolean,
    partUnits?: number,
  ): Promise<boolean> => {
    try {
      const body = { share: state.name, mustReport, partUnits };
      const reply = await send(target, RECALL_KIND, body, MESSAGE_TIMEOUT_MS);
      recallReplySchema.parse(reply.body);
      state.keeper?.reclaimEarlierIncarnation(target, reply.incarnation, nowMs());
      return true;
    } catch {
      state.skipRecallUntilMs.set(target, nowMs() + RECALL_PAUSE_MS);
      const work = mustReport ? skipExpiredReport(state, target) : reclaimUnits(state, target);
      work.catch(() => {});
      return false;
    }
  };

  /** Recalls units from the consumers with the most excess; true when all answered. */
  const recall = async (state: QuotaState, requestingVm?: string): Promise<boolean> => {
    const isRecallPaused = (consumer: string): boolean =>
      nowMs() < (state.skipRecallUntilMs.get(consumer) ?? 0);
    const isRecallTarget = (consumer: string): boolean =>
      consumer !== requestingVm && !isRecallPaused(consumer);
    const targets = state.keeper?.recallTargets(isRecallTarget, nowMs()) ?? [];
    const isAnyRecallPaused = state.keeper?.holding().some(isRecallPaused) ?? false;
    const answers = Promise.all(
      targets.map((target) => recallFrom(state, target.vm, false, target.partUnits)),
    );
    const areTargetsAnswered = await resolveWithin(
      RECALL_WAIT_MS,
      answers.then((all) => all.every(Boolean)),
    );
    // Until the allocator has claimed all units, VMs that were not asked may hold some.
    const isLastRequestAnswered =
      areTargetsAnswered && !isAnyRecallPaused && (state.keeper?.areAllUnitsClaimed() ?? false);
    updateQuotaState(state, { isLastRequestAnswered });
    return isLastRequestAnswered;
  };

  const handleReport = async (_fromVm: string, body: unknown): Promise<QuotaGrant> => {
    const report = quotaReportSchema.parse(body);
    const state = findOrCreateState(report.share);
    if (!state) return { kind: 'refused', reason: 'unknown share' };
    roles.refresh(state);
    if (!state.keeper || !roles.hasAuthority(state)) {
      return { kind: 'refused', reason: 'not the keeper' };
    }
    if (!(await recordWriter.addConsumer(state.name, report.vm))) {
      return { kind: 'refused', reason: 'not recorded as a holder' };
    }
    const isOutOfTokens = report.neededTokens > 0 && state.keeper.tokens(nowMs()) < 1;
    if (isOutOfTokens && nowMs() >= state.nextTokenRequestAtMs) await recall(state, report.vm);
    const { keeper: allocator } = state;
    if (!allocator || !roles.hasAuthority(state))
      return { kind: 'refused', reason: 'not the keeper' };
    const grant = allocator.handleReport(report, nowMs(), state.waiting);
    const hasAskedAll = !isOutOfTokens || state.isLastRequestAnswered;
    return grant.kind === 'granted' ? { ...grant, hasAskedAll } : grant;
  };

  const releaseUnits = async (
    state: QuotaState,
    mustReport: boolean,
    partUnits?: number,
  ): Promise<boolean> => {
    const hasReleased =
      !mustReport && (state.consumer?.release(nowMs(), partUnits, state.waiting) ?? false);
    if (hasReleased || mustReport) await reportInTurn(state, false);
    return hasReleased;
  };

  const scheduleRelease = (
    state: QuotaState,
    pendingReport: Promise<boolean>,
    mustReport: boolean,
    partUnits?: number,
  ): void => {
    if (state.isReleaseScheduled) return;
    updateQuotaState(state, { isReleaseScheduled: true });
    pendingReport
      .then(() => releaseUnits(state, mustReport, partUnits))
      .catch(() => {})
      .finally(() => updateQuotaState(state, { isReleaseScheduled: false }));
  };

  const handleRecall = async (
    _fromVm: string,
    body: unknown,
  ): Promise<z.infer<typeof recallReplySchema>> => {
    const { share, mustReport, partUnits } = recallSchema.parse(body);
    const state = findOrCreateState(share);
    if (!state) return { hasReleased: false };
    roles.refresh(state);
    if (state.pendingReport) {
      // The pending answer would return units released now, and may itself wait for this recall.
      scheduleRelease(state, state.pendingReport, mustReport, partUnits);
      return { hasReleased: false };
    }
    return { hasReleased: await releaseUnits(state, mustReport, partUnits) };
  };

  const claimQuota = async (state: QuotaState, expiredVm?: string): Promise<void> => {
    updateQuotaState(state, { unreachableSinceMs: undefined });
    await recordWriter.claim(state, expiredVm);
    roles.refresh(state);
  };

  /** Claims the quota once the allocator's lease has expired, unless another VM claimed it first. */
  const replaceAllocator = async (state: QuotaState, record: QuotaRecord): Promise<void> => {
    const hasExpired = await leases.proveByRecord(record.keeper);
    if (hasExpired && configuration.get('share', state.name)?.epoch === record.epoch) {
      await claimQuota(state, record.keeper);
    }
  };

  const startReplacement = (state: QuotaState, record: QuotaRecord): void => {
    if (state.pendingReplacement) return;
    const pendingReplacement = replaceAllocator(state, record)
      .catch(() => {})
      .finally(() => updateQuotaState(state, { pendingReplacement: undefined }));
    updateQuotaState(state, { pendingReplacement });
  };

  const isUnclaimed = (state: QuotaState, record: QuotaRecord): boolean => {
    if (record.keeper === NO_ALLOCATOR) return true;
    if (record.keeper !== vm) return false;
    return record.incarnation !== incarnation || record.epoch === state.lostEpoch;
  };

  return {
    reportInTurn,
    recall,
    /** As the allocator, asks VMs that may hold units of an earlier epoch to report. */
    collectReports: async (state: QuotaState): Promise<void> => {
      const targets = state.keeper?.areAllUnitsClaimed()
        ? []
        : (state.keeper?.unreportedVms() ?? []);
      await Promise.all(targets.map((target) => recallFrom(state, target, true)));
    },
    /** Claims the quota if it has no allocator or that has been unreachable for too long. */
    claimIfOrphaned: async (state: QuotaState): Promise<void> => {
      const record = configuration.get('share', state.name);
      if (!record || isUnclaimed(state, record)) {
        await claimQuota(state);
        return;
      }
      const unreachableMs = nowMs() - (state.unreachableSinceMs ?? nowMs());
      const isRegistered = configuration.get('vm', record.keeper) !== undefined;
      if (unreachableMs > (isRegistered ? leaseMs : UNREGISTERED_ALLOCATOR_TIMEOUT_MS))
        await claimQuota(state);
      else if (unreachableMs > ALLOCATOR_SUSPECT_MS) startReplacement(state, record);
    },
    messageHandlers: new Map<string, MessageHandler>([
      [REPORT_KIND, handleReport],
      [RECALL_KIND, handleRecall],
    ]),
  };
};

export default createQuotaProtocol;

import {
  shareGrantSchema,
  shareSyncSchema,
  type ConfigurationState,
  type ShareGrant,
} from '@auburngrade/coordination';
import { z } from 'zod';
import type PeerRegistry from '../routing/peerRegistry';
import type createKeeperClaims from './createKeeperClaims';
import type createShareRoles from './createShareRoles';
import type ShareState from './shareState';
import updateShareState from './updateShareState';

interface ShareExchangeOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  peers: PeerRegistry;
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
/** A keeper that has not answered for this time is replaced. */
const UNREACHABLE_MS = 5_000;

const recallSchema = z.strictObject({
  share: z.string().min(1),
  /** Asks for a report also when there is nothing to give back. */
  mustReport: z.boolean(),
});
const recalledSchema = z.strictObject({ hasReleased: z.boolean() });

const within = (waitMs: number, work: Promise<boolean>): Promise<boolean> =>
  Promise.race([
    work,
    new Promise<boolean>((resolve) => {
      setTimeout(() => resolve(false), waitMs).unref();
    }),
  ]);

/** The messages by which units move between a share's keeper and its holders. */
const createShareExchange = (options: ShareExchangeOptions) => {
  const { vm, incarnation, configuration, peers, claims, roles, stateOf, nowMs } = options;

  const send = async (
    target: string,
    kind: string,
    body: unknown,
  ): Promise<{ incarnation: number; body: unknown }> => {
    const message = { fromVm: vm, incarnation, kind, bodyJson: JSON.stringify(body) };
    const reply = await peers.get(target).exchange(message, EXCHANGE_TIMEOUT_MS);
    return { incarnation: reply.incarnation, body: JSON.parse(reply.bodyJson) };
  };

  const noteUnreachable = (state: ShareState): void => {
    updateShareState(state, { unreachableSinceMs: state.unreachableSinceMs ?? nowMs() });
  };

  const syncNow = async (state: ShareState, hasNeed: boolean): Promise<boolean> => {
    const record = roles.refresh(state);
    const { holder } = state;
    if (!record || !holder) return false;
    const demandPerS = holder.demandPerS(nowMs());
    const needed = hasNeed ? Math.max(1, state.waiting, demandPerS * NEED_AHEAD_S) : 0;
    updateShareState(state, {
      lastSyncAtMs: nowMs(),
      lastDemandPerS: demandPerS,
      isSyncDue: false,
    });
    const report = holder.report(record.epoch, needed, nowMs());
    try {
      const reply = await send(record.keeper, SYNC_KIND, report);
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

  const recallOne = async (
    state: ShareState,
    target: string,
    mustReport: boolean,
  ): Promise<boolean> => {
    try {
      const reply = await send(target, RECALL_KIND, { share: state.name, mustReport });
      recalledSchema.parse(reply.body);
      state.keeper?.noteIncarnation(target, reply.incarnation, nowMs());
      return true;
    } catch {
      return false;
    }
  };

  /** Asks the holders with most units for what they do not need; true when all answered. */
  const recall = async (state: ShareState, exceptVm?: string): Promise<boolean> => {
    const targets = state.keeper?.recallable(exceptVm) ?? [];
    const answers = Promise.all(targets.map((target) => recallOne(state, target, false)));
    const isAnswered = await within(
      RECALL_WAIT_MS,
      answers.then((all) => all.every(Boolean)),
    );
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
    const grant = keeper.sync(report, nowMs());
    const hasAskedAll = !isDry || state.isAnswered;
    return grant.kind === 'granted' ? { ...grant, hasAskedAll } : grant;
  };

  const onRecall = async (
    _fromVm: string,
    body: unknown,
  ): Promise<z.infer<typeof recalledSchema>> => {
    const { share, mustReport } = recallSchema.parse(body);
    const state = stateOf(share);
    if (!state) return { hasReleased: false };
    roles.refresh(state);
    const hasReleased = !mustReport && (state.holder?.release(nowMs()) ?? false);
    // A report under way may wait for this very answer.
    if (state.syncing) updateShareState(state, { isSyncDue: true });
    else if (hasReleased || mustReport) await sync(state, false);
    return { hasReleased };
  };

  const isKeeperGone = (state: ShareState, keeper: string, keeperIncarnation: number): boolean => {
    if (keeper === vm) return keeperIncarnation !== incarnation;
    if (!configuration.get('vm', keeper)) return true;
    const { unreachableSinceMs } = state;
    return unreachableSinceMs !== undefined && nowMs() - unreachableSinceMs > UNREACHABLE_MS;
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
      if (record && !isKeeperGone(state, record.keeper, record.incarnation)) return;
      updateShareState(state, { unreachableSinceMs: undefined });
      await claims.claim(state);
      roles.refresh(state);
    },
    handlers: new Map<string, (fromVm: string, body: unknown) => Promise<unknown>>([
      [SYNC_KIND, onSync],
      [RECALL_KIND, onRecall],
    ]),
  };
};

export default createShareExchange;

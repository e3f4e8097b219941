import {
  createMayHaveRunError,
  createNotRunError,
  toRefusal,
  type ConfigurationState,
  type RefusalError,
  type StatementOutcome,
  type StatementRequest,
  type TransactionRequest,
} from '@auburngrade/coordination';
import { EndpointError, type QueryResult } from '@auburngrade/endpoint';
import type DataCentres from '../evacuation/dataCentres';
import type GroupClient from '../groups/groupClient';
import createFreshnessTracker from '../routing/createFreshnessTracker';
import createReadPlanner from '../routing/createReadPlanner';
import createRecentFailures from '../routing/createRecentFailures';
import type PrimaryWaiter from '../routing/primaryWaiter';
import type ReadPlan from '../routing/readPlan';
import sleep from '../time/sleep';
import createReadHedge from './createReadHedge';
import type ReadProgress from './readProgress';

interface ReadExecutorOptions {
  vm: string;
  dataCentre: string;
  catchUpWaitMs: number;
  configuration: ConfigurationState;
  dataCentres: Pick<DataCentres, 'evacuated'>;
  primaryWaiter: PrimaryWaiter;
  listGroupClients(): GroupClient[];
  nowMs(): number;
}

const SQLSTATE_STALE_TERM = 'AG001';
const MEMBER_AVOIDANCE_MS = 2_000;
const CONFIRM_POLL_INTERVAL_MS = 5;
const RETRY_AFTER_MS = 200;

const toRefusalError = (error: EndpointError): RefusalError => {
  if (error.sqlState === SQLSTATE_STALE_TERM) {
    return createNotRunError('noPrimary', error.message, RETRY_AFTER_MS);
  }
  if (error.kind === 'statementFailed') return createNotRunError('statementFailed', error.message);
  if (error.kind === 'notSent')
    return createNotRunError('noConnection', error.message, RETRY_AFTER_MS);
  return createMayHaveRunError('connectionLost', error.message);
};

/** Runs reads on an endpoint that meets the freshness required by the session and the profile. */
const createReadExecutor = (options: ReadExecutorOptions) => {
  const { vm, nowMs } = options;
  const hedge = createReadHedge(nowMs);
  const recentFailures = createRecentFailures(MEMBER_AVOIDANCE_MS, nowMs);
  const freshnessTracker = createFreshnessTracker(options.listGroupClients);
  const readPlanner = createReadPlanner({
    ...options,
    freshnessTracker,
    avoided: recentFailures.names,
  });

  const runOnMember = async (
    groupClient: GroupClient,
    request: StatementRequest,
    { member, term }: ReadPlan,
    progress: ReadProgress,
  ): Promise<QueryResult> => {
    Object.assign(progress, { member, isSent: false });
    const { account, deadlineAtMs, profile } = request;
    const pooled = await groupClient.acquire(member, account, deadlineAtMs, profile);
    Object.assign(progress, { isSent: true });
    try {
      const sql = `/*term=${term}*/${request.sql}`;
      const timeoutMs = request.deadlineAtMs - nowMs();
      return await pooled.connection.query(sql, request.parameters, timeoutMs);
    } finally {
      pooled.release();
    }
  };

  const runOrMarkFailed = async (
    groupClient: GroupClient,
    request: StatementRequest,
    plan: ReadPlan,
    progress: ReadProgress,
  ): Promise<QueryResult> => {
    try {
      return await runOnMember(groupClient, request, plan, progress);
    } catch (error) {
      if (!(error instanceof EndpointError)) {
        if (toRefusal(error).code === 'noConnection') recentFailures.add(plan.member);
        throw error;
      }
      if (error.kind !== 'statementFailed') recentFailures.add(plan.member);
      throw toRefusalError(error);
    }
  };

  /** Waits until polls sent after the read show the primary and a majority without a later fence. */
  const confirmPrimary = async (
    groupClient: GroupClient,
    request: Pick<StatementRequest, 'deadlineAtMs'>,
    sentAtMs: number,
  ): Promise<void> => {
    while (nowMs() < request.deadlineAtMs) {
      const confirmedAtMs = freshnessTracker.observe(groupClient).at(-1)?.askedAtMs;
      if (confirmedAtMs !== undefined && confirmedAtMs >= sentAtMs) return;
      await Promise.race([groupClient.poll(), sleep(CONFIRM_POLL_INTERVAL_MS)]);
    }
    throw createMayHaveRunError(
      'noFreshEndpoint',
      'no majority confirmed the primary before the deadline',
    );
  };

  const tryPlan = async (
    groupClient: GroupClient,
    request: StatementRequest,
    plan: ReadPlan,
    progress: ReadProgress,
  ): Promise<QueryResult | undefined> => {
    const sentAtMs = nowMs();
    const rows = await runOrMarkFailed(groupClient, request, plan, progress);
    if (plan.isConfirmationRequired) {
      await confirmPrimary(groupClient, request, sentAtMs);
      if (groupClient.record()?.term !== plan.term) return undefined;
    }
    const isTooStale = plan.freshUntilMs !== undefined && nowMs() > plan.freshUntilMs;
    return isTooStale ? undefined : rows;
  };

  const executeOnce = async (
    groupClient: GroupClient,
    request: StatementRequest,
    progress: ReadProgress,
  ): Promise<StatementOutcome> => {
    let plan = await readPlanner.plan(groupClient, request, false);
    let rows = await tryPlan(groupClient, request, plan, progress);
    if (!rows) {
      // The answer came too late to prove its age: retry on the primary, which is always fresh.
      plan = await readPlanner.plan(groupClient, request, true);
      rows = await tryPlan(groupClient, request, plan, progress);
    }
    if (!rows)
      throw createMayHaveRunError(
        'noFreshEndpoint',
        'the age of the answer could not be determined',
      );
    const { member: endpoint, role } = plan;
    return { rows, sessionToken: request.sessionToken, servedBy: { vm, endpoint, role } };
  };

  return {
    /** @throws RefusalError */
    execute: async (
      groupClient: GroupClient,
      request: StatementRequest,
    ): Promise<StatementOutcome> => {
      const firstProgress: ReadProgress = { member: undefined, isSent: false };
      const answer = executeOnce(groupClient, request, firstProgress);
      if (!(await hedge.isHedgeDue(groupClient, request, firstProgress, answer))) return answer;
      // The first connection may be dead: send a second read and take the first answer.
      if (firstProgress.member !== undefined) recentFailures.add(firstProgress.member);
      const hedgedAnswer = executeOnce(groupClient, request, { member: undefined, isSent: false });
      return Promise.any([answer, hedgedAnswer]).catch(() => answer);
    },
    /** Chooses the member for a read-only transaction. @throws RefusalError */
    plan: async (groupClient: GroupClient, request: TransactionRequest): Promise<ReadPlan> => {
      const freshness = options.configuration.get('profile', request.profile)?.freshness;
      // A bounded age would expire while the transaction is open, so it runs on the primary.
      return readPlanner.plan(groupClient, request, freshness?.kind !== 'session');
    },
    /** Confirms the primary after an answer in a read-only transaction, if the plan requires it. */
    confirm: async (
      groupClient: GroupClient,
      request: Pick<StatementRequest, 'deadlineAtMs'>,
      plan: ReadPlan,
      sentAtMs: number,
    ): Promise<void> => {
      if (!plan.isConfirmationRequired) return;
      await confirmPrimary(groupClient, request, sentAtMs);
      if (groupClient.record()?.term === plan.term) return;
      throw createNotRunError(
        'transactionAborted',
        'the primary was replaced during the transaction',
      );
    },
    close: freshnessTracker.close,
  };
};

export default createReadExecutor;

import {
  mayHaveRun,
  notRun,
  toRefusal,
  type ConfigurationState,
  type RefusalError,
  type StatementOutcome,
  type StatementRequest,
  type TransactionRequest,
} from '@auburngrade/coordination';
import { EndpointError, type QueryResult } from '@auburngrade/endpoint';
import type GroupHolder from '../groups/groupHolder';
import createFreshnessTracker from '../routing/createFreshnessTracker';
import createReadPlanner from '../routing/createReadPlanner';
import createRecentFailures from '../routing/createRecentFailures';
import type ReadPlan from '../routing/readPlan';
import sleep from '../time/sleep';
import createReadHedge from './createReadHedge';
import type ReadAttempt from './readAttempt';

interface ReadExecutorOptions {
  vm: string;
  dataCentre: string;
  catchUpWaitMs: number;
  configuration: ConfigurationState;
  held(): GroupHolder[];
  nowMs(): number;
}

const STALE_TERM_STATE = 'AG001';
const AVOID_MS = 2_000;
const CONFIRM_STEP_MS = 5;
const RETRY_AFTER_MS = 200;

const toRefusalError = (error: EndpointError): RefusalError => {
  if (error.sqlState === STALE_TERM_STATE) {
    return notRun('noPrimary', error.message, RETRY_AFTER_MS);
  }
  if (error.kind === 'statementFailed') return notRun('statementFailed', error.message);
  if (error.kind === 'notSent') return notRun('noConnection', error.message, RETRY_AFTER_MS);
  return mayHaveRun('connectionLost', error.message);
};

/** Runs reads on an endpoint that is as fresh as the session and the profile ask. */
const createReadExecutor = (options: ReadExecutorOptions) => {
  const { vm, nowMs } = options;
  const hedge = createReadHedge(nowMs);
  const failures = createRecentFailures(AVOID_MS, nowMs);
  const tracker = createFreshnessTracker(options.held);
  const planner = createReadPlanner({ ...options, tracker, avoided: failures.names });

  const run = async (
    holder: GroupHolder,
    request: StatementRequest,
    { member, term }: ReadPlan,
    progress: ReadAttempt,
  ): Promise<QueryResult> => {
    Object.assign(progress, { member, isSent: false });
    const { account, deadlineAtMs, profile } = request;
    const pooled = await holder.acquire(member, account, deadlineAtMs, profile);
    Object.assign(progress, { isSent: true });
    try {
      const sql = `/*term=${term}*/${request.sql}`;
      const timeoutMs = request.deadlineAtMs - nowMs();
      return await pooled.connection.query(sql, request.parameters, timeoutMs);
    } finally {
      pooled.release();
    }
  };

  const runOrAvoid = async (
    holder: GroupHolder,
    request: StatementRequest,
    plan: ReadPlan,
    progress: ReadAttempt,
  ): Promise<QueryResult> => {
    try {
      return await run(holder, request, plan, progress);
    } catch (error) {
      if (!(error instanceof EndpointError)) {
        if (toRefusal(error).code === 'noConnection') failures.add(plan.member);
        throw error;
      }
      if (error.kind !== 'statementFailed') failures.add(plan.member);
      throw toRefusalError(error);
    }
  };

  /** Waits until a majority has answered, since the read was sent, without a later fence. */
  const confirmPrimary = async (
    holder: GroupHolder,
    request: Pick<StatementRequest, 'deadlineAtMs'>,
    sentAtMs: number,
  ): Promise<void> => {
    while (nowMs() < request.deadlineAtMs) {
      const confirmedAtMs = tracker.observe(holder).at(-1)?.askedAtMs;
      if (confirmedAtMs !== undefined && confirmedAtMs >= sentAtMs) return;
      await Promise.race([holder.poll(), sleep(CONFIRM_STEP_MS)]);
    }
    throw mayHaveRun('noFreshEndpoint', 'no majority confirmed the primary in time');
  };

  const attempt = async (
    holder: GroupHolder,
    request: StatementRequest,
    plan: ReadPlan,
    progress: ReadAttempt,
  ): Promise<QueryResult | undefined> => {
    const sentAtMs = nowMs();
    const rows = await runOrAvoid(holder, request, plan, progress);
    if (plan.isConfirmed) {
      await confirmPrimary(holder, request, sentAtMs);
      if (holder.record()?.term !== plan.term) return undefined;
    }
    const isTooOld = plan.freshUntilMs !== undefined && nowMs() > plan.freshUntilMs;
    return isTooOld ? undefined : rows;
  };

  const executeOnce = async (
    holder: GroupHolder,
    request: StatementRequest,
    progress: ReadAttempt,
  ): Promise<StatementOutcome> => {
    let plan = await planner.plan(holder, request, false);
    let rows = await attempt(holder, request, plan, progress);
    if (!rows) {
      // The answer took too long to vouch for its age: the primary is always young enough.
      plan = await planner.plan(holder, request, true);
      rows = await attempt(holder, request, plan, progress);
    }
    if (!rows) throw mayHaveRun('noFreshEndpoint', 'the age of the answer is not known');
    const { member: endpoint, role } = plan;
    return { rows, sessionToken: request.sessionToken, servedBy: { vm, endpoint, role } };
  };

  return {
    /** @throws RefusalError */
    execute: async (holder: GroupHolder, request: StatementRequest): Promise<StatementOutcome> => {
      const first: ReadAttempt = { member: undefined, isSent: false };
      const answer = executeOnce(holder, request, first);
      if (!(await hedge.isStuck(holder, request, first, answer))) return answer;
      // Its connection may have gone silent for good; whichever answer comes first is taken.
      if (first.member !== undefined) failures.add(first.member);
      const second = executeOnce(holder, request, { member: undefined, isSent: false });
      return Promise.any([answer, second]).catch(() => answer);
    },
    /** The member for a read-only transaction. @throws RefusalError */
    plan: async (holder: GroupHolder, request: TransactionRequest): Promise<ReadPlan> => {
      const freshness = options.configuration.get('profile', request.profile)?.freshness;
      // A stated age would run out while the transaction is open.
      return planner.plan(holder, request, freshness?.kind !== 'session');
    },
    /** Waits for what has to hold once an answer of a read-only transaction is there. */
    confirm: async (
      holder: GroupHolder,
      request: Pick<StatementRequest, 'deadlineAtMs'>,
      plan: ReadPlan,
      sentAtMs: number,
    ): Promise<void> => {
      if (!plan.isConfirmed) return;
      await confirmPrimary(holder, request, sentAtMs);
      if (holder.record()?.term === plan.term) return;
      throw notRun('transactionAborted', 'the primary has been replaced');
    },
    close: tracker.close,
  };
};

export default createReadExecutor;

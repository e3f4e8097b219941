import {
  choosePlacement,
  compareUrgency,
  createPositionHistory,
  laterPosition,
  type LogPosition,
} from '@auburngrade/coordination';
import { Action, type GroupCall } from '../generated/auburngrade/session/v1/session';
import type createRateLimiter from '../limits/createRateLimiter';
import type EventLog from '../seams/eventLog';
import type FailoverCaller from '../seams/failoverCaller';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberCommand from '../seams/memberCommand';
import type MemberDialer from '../seams/memberDialer';
import MemberLinkError from '../seams/memberLinkError';
import type MemberReply from '../seams/memberReply';
import type CallOutcome from './callOutcome';
import createMemberPool from './createMemberPool';
import createPrimaryKeeper from './createPrimaryKeeper';
import type GroupRecord from './groupRecord';
import type GroupTransaction from './groupTransaction';
import type GroupWork from './groupWork';
import type MemberPool from './memberPool';
import type PooledMember from './pooledMember';
import prepareMember from './prepareMember';
import refused from './refused';
import valuesKeyOf from './valuesKeyOf';

/** Reserve for clocks, ways and the read itself within the age that a route allows. */
const FRESHNESS_RESERVE_MS = 250;
/** How old the newest sample of the primary's position may get while reads wait for one. */
const SAMPLE_INTERVAL_MS = 200;
/** Part of a statement's time limit that it may wait; the rest is for running it. */
const WAITING_PART = 0.85;
/** Tries of one statement: each had no effect, or was a read. */
const MAX_ATTEMPTS = 6;
/** Part of an endpoint's connections that one owner uses: those of an owner that dies count for 3 s. */
const USED_PART = 0.7;
/** A read without an answer for this long, several times its usual length, is sent elsewhere. */
const SILENT_READ_MS = 400;
/** Tries of a read that are cut short so; the last ones get the whole time limit. */
const SHORT_TRIES = 2;
/** Connections that open transactions leave to single statements. */
const CONNECTIONS_OUTSIDE_TRANSACTIONS = 4;
/** An endpoint whose entry is missing may be back within two seconds of the store's return. */
const MISSING_GRACE_MS = 2_500;

interface GroupServerOptions {
  group: string;
  holder: string;
  dialer: MemberDialer;
  failover: FailoverCaller;
  limiter: ReturnType<typeof createRateLimiter>;
  log: EventLog;
  nowMs(): number;
  recorded(): Pick<GroupRecord, 'primary' | 'term' | 'fence'>;
  record(next: Pick<GroupRecord, 'primary' | 'term' | 'fence'>): Promise<boolean>;
  mayReplace(): boolean;
  /** Whether no other VM can have replaced the primary without this VM knowing. */
  isCertain(): boolean;
  controlAccount(): string;
}

const transactionKey = (origin: string, transaction: number): string => `${origin}/${transaction}`;

/** Serves the statements of one group: this VM holds all connections to the group's endpoints. */
const createGroupServer = (options: GroupServerOptions) => {
  const { group, dialer, limiter, log, nowMs } = options;
  const pools = new Map<string, MemberPool>();
  const missingSinceMs = new Map<string, number>();
  const history = createPositionHistory();
  const transactions = new Map<string, GroupTransaction>();
  let waiting: GroupWork[] = [];
  let maxConnections = 1;
  let isClosed = false;
  let isRetired = false;
  let isDispatchDue = false;
  let isSampling = false;
  let sampledAtMs = Number.NEGATIVE_INFINITY;

  /** Declared early: pools and the keeper call it when something became free. */
  const schedule: { dispatch(): void } = { dispatch: () => undefined };
  const dispatchSoon = (): void => {
    if (isDispatchDue || isClosed) return;
    isDispatchDue = true;
    setImmediate(() => {
      isDispatchDue = false;
      schedule.dispatch();
    });
  };

  const keeper = createPrimaryKeeper({
    ...options,
    pools,
    openWork: (endpointId) =>
      [...transactions.values()].filter((open) => open.endpointId === endpointId).length +
      (pools.get(endpointId)?.load('', true).underWay ?? 0),
    onPrimary: (_id, position, askedAtMs) => {
      history.clear();
      history.record(askedAtMs, position);
    },
    onChange: dispatchSoon,
  });

  const endTransaction = (open: GroupTransaction, isRolledBack: boolean): void => {
    if (!transactions.delete(open.id)) return;
    clearTimeout(open.idleTimer);
    const { pool, member } = open;
    if (isRolledBack) {
      pool.giveBack(member);
      return;
    }
    if (member.isEnded || open.isRunning) {
      pool.drop(member);
      return;
    }
    const guard = setTimeout(() => pool.drop(member), FRESHNESS_RESERVE_MS);
    pool.ask(member, { kind: 'rollback' }).then(
      (reply) => {
        clearTimeout(guard);
        if (reply.state === 'idle' && !reply.failure) pool.giveBack(member);
        else pool.drop(member);
      },
      () => clearTimeout(guard),
    );
  };

  const watchIdle = (transaction: GroupTransaction): void => {
    const open = transaction;
    clearTimeout(open.idleTimer);
    open.idleTimer = setTimeout(() => {
      log.info('transaction.idleEnded', { group, transaction: open.id, idleMs: open.idleMs });
      endTransaction(open, false);
    }, open.idleMs);
  };

  const finish = (work: GroupWork, outcome: CallOutcome): void => {
    clearTimeout(work.timer);
    const isUnused =
      outcome.kind === 'notOwner' || (outcome.kind === 'refused' && outcome.code === 'busy');
    if (isUnused && !work.isInTransaction && !work.hasRun) limiter.putBack(work.call.account);
    if (outcome.kind === 'refused') {
      log.info('request.refused', {
        request: work.call.requestId,
        group,
        code: outcome.code,
        reason: outcome.message,
        waitedMs: Math.round(nowMs() - work.arrivedAtMs),
        attempts: work.attempts,
        primary: keeper.current(),
        waiting: waiting.length,
      });
    } else if (outcome.kind === 'complete' && nowMs() > work.targetAtMs) {
      log.info('request.late', {
        request: work.call.requestId,
        group,
        signature: outcome.signature,
        waitedMs: Math.round(nowMs() - work.arrivedAtMs),
        beforeMs: work.call.waitedMs,
        targetMs: work.call.targetLatencyMs,
        attempts: work.attempts,
        waiting: waiting.length,
      });
    }
    work.resolve(outcome);
  };

  const isPrimaryOnly = ({ call }: GroupWork): boolean =>
    call.maxAgeMs === undefined ||
    (call.action === Action.ACTION_WRITE && !call.isReadOnly) ||
    (call.opensTransaction && !call.isReadOnly);

  const freshPosition = (work: GroupWork): LogPosition | undefined => {
    const { maxAgeMs, notBefore } = work.call;
    if (maxAgeMs === undefined) return undefined;
    const fresh = history.leastFresh(nowMs() - Math.max(0, maxAgeMs - FRESHNESS_RESERVE_MS));
    return fresh && laterPosition(fresh, notBefore);
  };

  const openTransactionOf = (work: GroupWork): GroupTransaction | undefined =>
    work.call.transaction === 0
      ? undefined
      : transactions.get(transactionKey(work.origin, work.call.transaction));

  /** A commit is acknowledged only while no other VM can have replaced the primary. */
  const toResult = (work: GroupWork, reply: MemberReply): CallOutcome =>
    work.call.action !== Action.ACTION_READ && !work.call.isReadOnly && !options.isCertain()
      ? refused('inDoubt', 'the primary may have been replaced meanwhile')
      : {
          kind: 'complete',
          rows: reply.rows,
          signature: reply.signature ?? '',
          position: reply.position,
        };

  const commandOf = (
    { call }: GroupWork,
    member: PooledMember,
    notBefore: LogPosition | undefined,
  ): MemberCommand => {
    const { requestId, text, prepared } = call;
    if (!prepared) return { kind: 'forward', requestId, text, notBefore };
    const name = prepareMember.preparedName(member, prepared);
    return { kind: 'execute', requestId, name, argumentsText: prepared.argumentsText, notBefore };
  };

  const requeue = (work: GroupWork): void => {
    if (isClosed || (isRetired && !work.isInTransaction)) {
      finish(work, { kind: 'notOwner' });
    } else if (work.attempts >= MAX_ATTEMPTS || nowMs() >= work.refusedAtMs) {
      finish(work, refused('busy', 'no endpoint could serve the statement, retry in 200 ms'));
    } else {
      waiting.push(work);
      dispatchSoon();
    }
  };

  /** Tries the statement elsewhere next; the primary stays a choice, since some have no other. */
  const avoid = (work: GroupWork, pool: MemberPool): void => {
    const { id } = pool.endpoint();
    if (id !== keeper.leading()) work.excluded.add(id);
  };

  /** The outcome of a reply that reports a failure; undefined when the statement may be tried again. */
  const failureOutcome = (
    work: GroupWork,
    pool: MemberPool,
    reply: MemberReply,
  ): CallOutcome | undefined => {
    const { kind, message } = reply.failure as NonNullable<MemberReply['failure']>;
    const { call } = work;
    const isRead = call.action === Action.ACTION_READ;
    switch (kind) {
      case 'busy':
        pool.pauseBusy();
        return undefined;
      case 'lagging':
        avoid(work, pool);
        return undefined;
      case 'readOnly':
        keeper.doubt(pool.endpoint().id);
        return undefined;
      case 'noStatement':
        return undefined;
      case 'timedOut':
        return refused(isRead ? 'timedOut' : 'inDoubt', message);
      default:
        if (isRead && call.transaction === 0) {
          avoid(work, pool);
          return undefined;
        }
        return refused(isRead ? 'failed' : 'inDoubt', message);
    }
  };

  /** Sends the statement itself and waits for the whole answer within the statement's time limit. */
  const askWithin = async (
    pool: MemberPool,
    member: PooledMember,
    command: MemberCommand,
    limitMs: number,
  ): Promise<MemberReply> => {
    const guard = setTimeout(() => pool.drop(member), limitMs);
    const startedAtMs = nowMs();
    try {
      const reply = await pool.ask(member, command);
      if (!reply.failure) pool.observeLatency(nowMs() - startedAtMs);
      return reply;
    } finally {
      clearTimeout(guard);
    }
  };

  /** A single statement, outside transactions. */
  const runSingle = async (work: GroupWork, pool: MemberPool): Promise<void> => {
    const { call } = work;
    const notBefore = isPrimaryOnly(work) ? undefined : freshPosition(work);
    const needsWait = pool.endpoint().id !== keeper.leading();
    const started = work;
    let member: PooledMember | undefined;
    let isSent = false;
    try {
      member = await pool.lend(call.account, valuesKeyOf(work.values));
      const guard = setTimeout(() => member && pool.drop(member), call.statementTimeoutMs);
      await prepareMember(pool, member, work.values, call.prepared);
      clearTimeout(guard);
      if (isPrimaryOnly(work) && keeper.current() !== pool.endpoint().id) {
        pool.giveBack(member);
        requeue(work);
        return;
      }
      isSent = true;
      started.hasRun = true;
      const command = commandOf(work, member, needsWait ? notBefore : undefined);
      const isShort = call.action === Action.ACTION_READ && work.attempts <= SHORT_TRIES;
      const limitMs = isShort ? SILENT_READ_MS : call.statementTimeoutMs;
      const reply = await askWithin(pool, member, command, limitMs);
      if (reply.failure?.kind === 'noStatement') member.prepared.clear();
      if (reply.state === 'idle') pool.giveBack(member);
      else pool.drop(member);
      if (!reply.failure) {
        finish(work, toResult(work, reply));
        return;
      }
      const outcome = failureOutcome(work, pool, reply);
      if (outcome) finish(work, outcome);
      else requeue(work);
    } catch (error) {
      if (!(error instanceof MemberLinkError)) throw error;
      if (member) pool.drop(member);
      const isRepeatable = !isSent || call.action === Action.ACTION_READ;
      const isInTime = nowMs() < work.refusedAtMs;
      if (isRepeatable && isInTime) {
        if (isSent) avoid(work, pool);
        requeue(work);
      } else if (isSent) {
        const code = call.action === Action.ACTION_READ ? 'timedOut' : 'inDoubt';
        finish(work, refused(code, error.message));
      } else {
        finish(work, refused('busy', `${error.message}, retry in 200 ms`));
      }
    }
  };

  /** The next statement of a transaction, on the connection that the transaction holds. */
  const runNext = async (work: GroupWork, transaction: GroupTransaction): Promise<void> => {
    const open = transaction;
    const { call } = work;
    const { pool, member } = open;
    const isCommit = call.action === Action.ACTION_COMMIT;
    clearTimeout(open.idleTimer);
    open.isRunning = true;
    let isSent = false;
    try {
      const guard = setTimeout(() => pool.drop(member), call.statementTimeoutMs);
      await prepareMember(pool, member, work.values, call.prepared);
      clearTimeout(guard);
      if (call.action === Action.ACTION_WRITE) open.hasWritten = true;
      isSent = true;
      const command = commandOf(work, member, undefined);
      const reply = await askWithin(pool, member, command, call.statementTimeoutMs);
      open.isRunning = false;
      if (!reply.failure) {
        if (isCommit) endTransaction(open, reply.state === 'idle');
        else watchIdle(open);
        finish(work, toResult(work, reply));
        return;
      }
      const isStillOpen = reply.state === 'open' && reply.failure.kind === 'busy';
      if (isStillOpen && nowMs() < work.refusedAtMs && work.attempts < MAX_ATTEMPTS) {
        pool.pauseBusy();
        watchIdle(open);
        waiting.push(work);
        return;
      }
      if (reply.failure.kind === 'readOnly') keeper.doubt(open.endpointId);
      endTransaction(open, false);
      const mayHaveRun = isCommit && open.hasWritten && reply.failure.kind === 'failed';
      finish(work, refused(mayHaveRun ? 'inDoubt' : 'aborted', reply.failure.message));
    } catch (error) {
      if (!(error instanceof MemberLinkError)) throw error;
      open.isRunning = false;
      pool.drop(member);
      endTransaction(open, false);
      const isUnsure = isCommit && isSent && open.hasWritten;
      finish(work, refused(isUnsure ? 'inDoubt' : 'aborted', error.message));
    }
  };

  /** Opens a transaction at an endpoint; its first statement follows on the same connection. */
  const runFirst = async (work: GroupWork, pool: MemberPool): Promise<void> => {
    const { call } = work;
    const endpointId = pool.endpoint().id;
    const needsWait = endpointId !== keeper.leading();
    const notBefore = needsWait ? freshPosition(work) : undefined;
    let member: PooledMember | undefined;
    try {
      member = await pool.lend(call.account, valuesKeyOf(work.values));
      const guard = setTimeout(() => member && pool.drop(member), call.statementTimeoutMs);
      await prepareMember(pool, member, work.values, call.prepared);
      const begin = await pool.ask(member, {
        kind: 'begin',
        isReadOnly: call.isReadOnly,
        notBefore,
      });
      clearTimeout(guard);
      if (begin.failure || begin.state !== 'open') {
        if (begin.failure?.kind === 'lagging') avoid(work, pool);
        if (begin.failure?.kind === 'readOnly') keeper.doubt(endpointId);
        if (begin.failure?.kind === 'busy') pool.pauseBusy();
        pool.drop(member);
        requeue(work);
        return;
      }
    } catch (error) {
      if (!(error instanceof MemberLinkError)) throw error;
      if (member) pool.drop(member);
      requeue(work);
      return;
    }
    const open: GroupTransaction = {
      id: transactionKey(work.origin, call.transaction),
      session: call.session,
      endpointId,
      pool,
      member,
      hasWritten: false,
      isRunning: false,
      idleTimer: undefined,
      idleMs: call.transactionIdleMs,
    };
    if (isClosed) {
      pool.drop(member);
      finish(work, { kind: 'notOwner' });
      return;
    }
    transactions.set(open.id, open);
    await runNext(work, open);
  };

  const start = (work: GroupWork, pool: MemberPool, run: () => Promise<void>): void => {
    const started = work;
    started.attempts += 1;
    pool.takeSlot();
    run()
      .catch((error) => {
        log.warn('request.broken', { request: work.call.requestId, reason: String(error) });
        finish(
          work,
          refused(work.call.action === Action.ACTION_READ ? 'failed' : 'inDoubt', 'internal error'),
        );
      })
      .finally(() => {
        pool.returnSlot();
        dispatchSoon();
      });
  };

  const heldByTransactions = (endpointId: string): number =>
    [...transactions.values()].filter((open) => open.endpointId === endpointId).length;

  /** Starts a waiting statement when an endpoint can take it now. */
  const tryStart = (work: GroupWork): boolean => {
    const { call } = work;
    if (call.transaction !== 0 && !call.opensTransaction) {
      const open = openTransactionOf(work);
      if (!open) {
        finish(work, refused('aborted', 'the transaction has ended'));
        return true;
      }
      const load = open.pool.load(call.account, true);
      if (load.underWay > load.slots || load.isPausedUntilMs > nowMs()) return false;
      start(work, open.pool, () => runNext(work, open));
      return true;
    }
    if (!options.isCertain()) return false;
    const primary = keeper.current();
    const needsPrimary = isPrimaryOnly(work);
    const members = [...pools.values()].map((pool) =>
      pool.load(call.account, pool.endpoint().id === primary),
    );
    const able = call.opensTransaction
      ? members.filter(
          ({ id }) => heldByTransactions(id) < maxConnections - CONNECTIONS_OUTSIDE_TRANSACTIONS,
        )
      : members;
    const notBefore = needsPrimary ? undefined : freshPosition(work);
    const chosen = choosePlacement(
      able,
      { needsPrimary, notBefore, excluded: work.excluded },
      nowMs(),
    );
    const pool = chosen && pools.get(chosen.id);
    if (!pool) return false;
    start(work, pool, () => (call.opensTransaction ? runFirst(work, pool) : runSingle(work, pool)));
    return true;
  };

  /** Asks the primary for its position when no statement has done so for a while. */
  const sampleIfNeeded = (): void => {
    const primary = keeper.current();
    const pool = primary === undefined ? undefined : pools.get(primary);
    // A sample in vain counts as well: the next one would meet the same endpoint in the same state.
    const latestMs = Math.max(history.latestAskedAtMs() ?? 0, sampledAtMs);
    if (!pool || isSampling || nowMs() - latestMs < SAMPLE_INTERVAL_MS) return;
    isSampling = true;
    sampledAtMs = nowMs();
    const account = waiting[0]?.call.account ?? options.controlAccount();
    let lent: PooledMember | undefined;
    const guard = setTimeout(() => lent && pool.drop(lent), SAMPLE_INTERVAL_MS * 4);
    pool
      .lend(account, '')
      .then(async (member) => {
        lent = member;
        await pool.ask(member, { kind: 'status' });
        pool.giveBack(member);
      })
      .catch((error) => {
        if (lent) pool.drop(lent);
        log.info('position.unknown', { group, endpoint: primary, reason: String(error) });
        setTimeout(dispatchSoon, SAMPLE_INTERVAL_MS);
      })
      .finally(() => {
        clearTimeout(guard);
        isSampling = false;
        dispatchSoon();
      });
  };

  const hasRoom = (): boolean => [...pools.values()].some((pool) => pool.hasRoom());

  schedule.dispatch = () => {
    if (isClosed || waiting.length === 0) return;
    const now = nowMs();
    if (!hasRoom()) return;
    waiting.sort((a, b) => compareUrgency(a, b, now));
    const turn = waiting;
    waiting = [];
    const left = turn.filter((work) => !hasRoom() || !tryStart(work));
    waiting = [...left, ...waiting];
    if (left.some((work) => !isPrimaryOnly(work) && !freshPosition(work))) sampleIfNeeded();
  };

  const expire = (work: GroupWork): void => {
    const index = waiting.indexOf(work);
    if (index < 0) return;
    waiting.splice(index, 1);
    const open = openTransactionOf(work);
    if (open) endTransaction(open, false);
    const reason = keeper.current()
      ? 'no slot became free in time'
      : 'the group has no primary now';
    finish(work, refused('busy', `${reason}, retry in 300 ms`));
  };

  const poolOptions = (id: string) => ({
    dialer,
    log,
    nowMs,
    onChange: dispatchSoon,
    controlAccount: options.controlAccount,
    onReply: (reply: MemberReply, askedAtMs: number) => {
      if (id !== keeper.leading() || !reply.position) return;
      history.record(askedAtMs, reply.position);
    },
  });

  return {
    updateEndpoints: (endpoints: readonly GroupEndpoint[], connectionLimit: number): void => {
      maxConnections = Math.max(1, Math.floor(connectionLimit * USED_PART));
      for (const endpoint of endpoints) {
        missingSinceMs.delete(endpoint.id);
        const known = pools.get(endpoint.id);
        const pool = known ?? createMemberPool(endpoint, poolOptions(endpoint.id));
        if (!known) {
          log.info('endpoint.found', { group, endpoint: endpoint.id, address: endpoint.address });
          pools.set(endpoint.id, pool);
        } else if (endpoint.isLeaving && !known.endpoint().isLeaving) {
          log.info('endpoint.leaving', { group, endpoint: endpoint.id });
        }
        pool.update(endpoint, maxConnections);
      }
      const listed = new Set(endpoints.map(({ id }) => id));
      for (const [id, pool] of pools) {
        if (!listed.has(id)) {
          const sinceMs = missingSinceMs.get(id) ?? nowMs();
          missingSinceMs.set(id, sinceMs);
          if (nowMs() - sinceMs >= MISSING_GRACE_MS || pool.endpoint().isLeaving) {
            log.info('endpoint.gone', { group, endpoint: id });
            missingSinceMs.delete(id);
            pools.delete(id);
            pool.close();
          }
        }
      }
      if (keeper.leading() === undefined) keeper.check();
      dispatchSoon();
    },
    run: (
      origin: string,
      call: GroupCall,
      values: ReadonlyMap<string, string>,
    ): Promise<CallOutcome> => {
      const isFirst = call.transaction === 0 || call.opensTransaction;
      if (isClosed || (isRetired && isFirst)) return Promise.resolve({ kind: 'notOwner' });
      if (isFirst) {
        const { isAdmitted, retryInMs } = limiter.admit(call.account);
        if (!isAdmitted) {
          const message = `the account is over its rate, retry in ${Math.ceil(retryInMs)} ms`;
          log.info('request.overRate', {
            request: call.requestId,
            account: call.account,
            retryInMs,
          });
          return Promise.resolve(refused('busy', message));
        }
      }
      const now = nowMs();
      return new Promise((resolve) => {
        const work: GroupWork = {
          origin,
          call,
          values,
          excluded: new Set(),
          isInTransaction: !isFirst,
          arrivedAtMs: now,
          targetAtMs: now + call.targetLatencyMs - call.waitedMs,
          refusedAtMs: now + call.statementTimeoutMs * WAITING_PART - call.waitedMs,
          priority: call.priority,
          attempts: 0,
          hasRun: false,
          timer: undefined,
          resolve,
        };
        work.timer = setTimeout(() => expire(work), Math.max(1, work.refusedAtMs - now));
        waiting.push(work);
        schedule.dispatch();
      });
    },
    hasTransaction: (origin: string, transaction: number): boolean =>
      transactions.has(transactionKey(origin, transaction)),
    endTransaction: (origin: string, transaction: number): void => {
      const open = transactions.get(transactionKey(origin, transaction));
      if (open) endTransaction(open, false);
    },
    /** The VM that sent these calls is gone: nothing of its open transactions is kept. */
    endOrigin: (origin: string): void => {
      [...transactions.values()]
        .filter(({ id }) => id.startsWith(`${origin}/`))
        .forEach((open) => endTransaction(open, false));
    },
    /** Another VM owns the group now: only open transactions go on here. */
    retire: (): void => {
      isRetired = true;
      keeper.close();
      const [open, rest] = [
        waiting.filter(({ isInTransaction }) => isInTransaction),
        waiting.filter(({ isInTransaction }) => !isInTransaction),
      ];
      waiting = open;
      rest.forEach((work) => finish(work, { kind: 'notOwner' }));
      pools.forEach((pool) => pool.dropIdle());
    },
    openTransactions: () => transactions.size,
    underWay: () =>
      [...pools.values()].reduce((sum, pool) => sum + pool.load('', false).underWay, 0),
    waitingCount: () => waiting.length,
    primary: () => keeper.current(),
    close: (): void => {
      isClosed = true;
      keeper.close();
      waiting.splice(0).forEach((work) => finish(work, { kind: 'notOwner' }));
      [...transactions.values()].forEach((open) => endTransaction(open, false));
      pools.forEach((pool) => pool.close());
    },
  };
};

export default createGroupServer;

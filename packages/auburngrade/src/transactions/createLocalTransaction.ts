import {
  type RefusalError,
  advanceSessionToken,
  isSessionControl,
  mayHaveRun,
  notRun,
  type StatementOutcome,
  type StatementRequest,
  type TransactionRequest,
} from '@auburngrade/coordination';
import {
  EndpointError,
  MEMBER_STATUS_SQL,
  toMemberStatus,
  type QueryResult,
} from '@auburngrade/endpoint';
import type GroupHolder from '../groups/groupHolder';
import type createOutcomeLookup from '../outcome/createOutcomeLookup';
import insertRequestSql from '../outcome/insertRequestSql';
import joinStatements from '../outcome/joinStatements';
import quoteLiteral from '../outcome/quoteLiteral';
import requestRecordId from '../outcome/requestRecordId';
import type PooledConnection from '../groups/pooledConnection';
import type ReadPlan from '../routing/readPlan';
import Transaction from './transaction';

interface LocalTransactionOptions {
  vm: string;
  holder: GroupHolder;
  request: TransactionRequest;
  plan: ReadPlan;
  pooled: PooledConnection;
  /** Resolves once an answer to what was sent at this time may be given. */
  confirm(sentAtMs: number): Promise<void>;
  lookup: ReturnType<typeof createOutcomeLookup>;
  onEnd(): void;
  nowMs(): number;
}

/** A connection that went silent is given up so early that another can be tried. */
const BEGIN_TIMEOUT_MS = 1_000;
const ROLLBACK_TIMEOUT_MS = 1_000;
const ABORTED_STATE = '25P02';
const STALE_TERM_STATE = 'AG001';
const UNIQUE_STATE = '23505';
const RETRY_AFTER_MS = 200;
const ROLLED_BACK: QueryResult = { columns: [], rows: [], command: 'ROLLBACK', rowCount: 0 };
const COMMITTED: QueryResult = { columns: [], rows: [], command: 'COMMIT', rowCount: 0 };

/** A transaction's id is recorded like that of a statement; its text is the same for all. */
const asStatement = (request: TransactionRequest): StatementRequest => ({
  ...request,
  sql: 'COMMIT',
  parameters: [],
});

class LocalTransaction extends Transaction {
  private hasEnded = false;

  private isRunning = false;

  private isCommitting = false;

  private stopWatching = (): void => {};

  constructor(private readonly options: LocalTransactionOptions) {
    super();
  }

  async begin(): Promise<void> {
    const { request, plan, holder } = this.options;
    this.stopWatching = holder.onTermOver(plan.term, () => this.abort());
    const statements = request.write
      ? ['BEGIN READ WRITE', insertRequestSql(asStatement(request), 'run')]
      : ['BEGIN READ ONLY'];
    try {
      await this.script(joinStatements(plan.term, statements), BEGIN_TIMEOUT_MS);
    } catch (error) {
      this.abort();
      if (error instanceof EndpointError && error.sqlState === UNIQUE_STATE) {
        await this.refuseRepeat();
      }
      throw this.refusalOf(error, true);
    }
  }

  override async run(sql: string, parameters: (string | null)[]): Promise<StatementOutcome> {
    this.checkOpen();
    if (isSessionControl(sql)) {
      throw notRun('badRequest', 'a statement may not control the transaction or the session');
    }
    const { pooled, plan, confirm, nowMs } = this.options;
    const sentAtMs = nowMs();
    try {
      const timeoutMs = this.timeLeftMs();
      const text = `/*term=${plan.term}*/${sql}`;
      const rows = await this.exclusively(() =>
        pooled.connection.query(text, parameters, timeoutMs),
      );
      await confirm(sentAtMs);
      return this.outcome(rows);
    } catch (error) {
      if (!pooled.connection.isUsable()) this.abort();
      throw this.refusalOf(error, false);
    }
  }

  override async commit(): Promise<StatementOutcome> {
    this.checkOpen();
    const { request, plan, holder, lookup, nowMs } = this.options;
    const askedAtMs = nowMs();
    this.isCommitting = true;
    let position: number;
    try {
      const results = await this.script(this.commitSql());
      position = this.notePosition(results.at(-1), askedAtMs);
      this.end();
    } catch (error) {
      this.isCommitting = false;
      this.abort();
      if (!request.write || this.isRefused(error)) throw this.commitRefusalOf(error);
      return lookup.resolve(holder, asStatement(request));
    }
    if (!request.write) return this.outcome(COMMITTED);
    const { sessionToken, group, deadlineAtMs } = request;
    const isHeld = await holder.waitAcknowledged(plan.term, position, deadlineAtMs, askedAtMs);
    if (!isHeld) return lookup.resolve(holder, asStatement(request));
    const token = advanceSessionToken(sessionToken, group, plan.term, position);
    return { ...this.outcome(COMMITTED), sessionToken: token };
  }

  override async rollback(): Promise<StatementOutcome> {
    this.checkOpen();
    this.abort();
    return this.outcome(ROLLED_BACK);
  }

  /**
   * A connection with a statement still running is closed; else it is rolled back and kept.
   * A commit that was sent runs on to its end or its deadline.
   */
  override abort(): void {
    if (this.hasEnded || this.isCommitting) return;
    const { pooled, onEnd } = this.options;
    this.hasEnded = true;
    this.stopWatching();
    const finish = (): void => {
      pooled.release();
      onEnd();
    };
    if (this.isRunning || !pooled.connection.isUsable()) {
      pooled.connection.close();
      finish();
      return;
    }
    pooled.connection
      .script('ROLLBACK', ROLLBACK_TIMEOUT_MS)
      .catch(() => pooled.connection.close())
      .finally(finish);
  }

  private end(): void {
    this.hasEnded = true;
    this.stopWatching();
    this.options.pooled.release();
    this.options.onEnd();
  }

  private script(sql: string, limitMs = Number.POSITIVE_INFINITY): Promise<QueryResult[]> {
    const { connection } = this.options.pooled;
    const timeoutMs = Math.min(limitMs, this.timeLeftMs());
    return this.exclusively(() => connection.script(sql, timeoutMs));
  }

  private async exclusively<Result>(work: () => Promise<Result>): Promise<Result> {
    this.isRunning = true;
    try {
      return await work();
    } finally {
      this.isRunning = false;
    }
  }

  private checkOpen(): void {
    if (this.hasEnded) throw notRun('transactionAborted', 'the transaction has been rolled back');
  }

  private timeLeftMs(): number {
    return Math.max(1, this.options.request.deadlineAtMs - this.options.nowMs());
  }

  private outcome(rows: QueryResult): StatementOutcome {
    const { vm, request, plan } = this.options;
    const servedBy = { vm, endpoint: plan.member, role: plan.role };
    return { rows, sessionToken: request.sessionToken, servedBy };
  }

  /** Before the commit is sent nothing of the transaction can take effect. */
  private refusalOf(error: unknown, isBegin: boolean): unknown {
    if (!(error instanceof EndpointError)) return error;
    if (error.sqlState === STALE_TERM_STATE) {
      return notRun('noPrimary', error.message, RETRY_AFTER_MS);
    }
    if (error.kind === 'statementFailed') return notRun('statementFailed', error.message);
    if (isBegin) return notRun('noConnection', error.message, RETRY_AFTER_MS);
    return notRun('transactionAborted', error.message);
  }

  /** Whether the endpoint certainly did not commit: it answered so, or was never asked. */
  private isRefused(error: unknown): boolean {
    return (
      error instanceof EndpointError &&
      (error.kind === 'notSent' || error.kind === 'statementFailed')
    );
  }

  private commitRefusalOf(error: unknown): RefusalError {
    const isFailed = error instanceof EndpointError && error.sqlState === ABORTED_STATE;
    const message = error instanceof Error ? error.message : String(error);
    return notRun('transactionAborted', isFailed ? 'a statement had failed' : message);
  }

  /** The status comes without a term, so that a fence after the commit can't hide its success. */
  private commitSql(): string {
    const { request, plan } = this.options;
    const result = quoteLiteral(JSON.stringify(COMMITTED));
    const id = quoteLiteral(requestRecordId(request));
    const update = `UPDATE auburngrade_request SET result = ${result} WHERE id = ${id}`;
    const statements = request.write ? [update, 'COMMIT'] : ['COMMIT'];
    return `${joinStatements(plan.term, statements)};${MEMBER_STATUS_SQL}`;
  }

  private notePosition(result: QueryResult | undefined, askedAtMs: number): number {
    const status = toMemberStatus(this.options.plan.member, result, askedAtMs);
    this.options.holder.noteStatus(status);
    return status.position;
  }

  /** Says what became of an earlier transaction with the same request id. */
  private async refuseRepeat(): Promise<never> {
    const { lookup, holder, request } = this.options;
    await lookup.resolve(holder, asStatement(request));
    throw mayHaveRun('duplicateRequest', 'a transaction of this request id has committed');
  }
}

/** Begins a transaction on a connection that is its own until it ends. @throws RefusalError */
const createLocalTransaction = async (options: LocalTransactionOptions): Promise<Transaction> => {
  const transaction = new LocalTransaction(options);
  await transaction.begin();
  return transaction;
};

export default createLocalTransaction;

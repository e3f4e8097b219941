import {
  RefusalError,
  advanceSessionToken,
  isSessionControl,
  mayHaveRun,
  notRun,
  type StatementOutcome,
  type TransactionRequest,
} from '@auburngrade/coordination';
import { EndpointError, type QueryResult } from '@auburngrade/endpoint';
import type GroupHolder from '../groups/groupHolder';
import type PooledConnection from '../groups/pooledConnection';
import type ReadPlan from '../routing/readPlan';
import Transaction from './transaction';
import transactionSql from './transactionSql';

interface LocalTransactionOptions {
  vm: string;
  holder: GroupHolder;
  request: TransactionRequest;
  plan: ReadPlan;
  pooled: PooledConnection;
  /** Resolves once an answer to what was sent at this time may be given. */
  confirm(sentAtMs: number): Promise<void>;
  onEnd(): void;
  nowMs(): number;
}

const ROLLBACK_TIMEOUT_MS = 1_000;
const ABORTED_STATE = '25P02';
const STALE_TERM_STATE = 'AG001';
const UNIQUE_STATE = '23505';
const RETRY_AFTER_MS = 200;
const NO_ROWS: QueryResult = { columns: [], rows: [], command: 'ROLLBACK', rowCount: 0 };

class LocalTransaction extends Transaction {
  private hasEnded = false;

  private isRunning = false;

  private isCommitting = false;

  constructor(private readonly options: LocalTransactionOptions) {
    super();
  }

  async begin(): Promise<void> {
    const { request, plan } = this.options;
    try {
      await this.script(transactionSql.begin(request, plan.term));
    } catch (error) {
      this.abort();
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
    const { request, plan, holder } = this.options;
    let position: number;
    let rows: QueryResult | undefined;
    this.isCommitting = true;
    try {
      const results = await this.script(transactionSql.commit(request, plan.term));
      rows = results.at(-2);
      position = Number(results.at(-1)?.rows[0]?.[3]);
      this.end();
    } catch (error) {
      const refusal = this.commitRefusalOf(error);
      this.isCommitting = false;
      this.abort();
      throw refusal;
    }
    if (!request.write) return this.outcome(rows ?? NO_ROWS);
    const isHeld = await holder.waitAcknowledged(plan.term, position, request.deadlineAtMs);
    if (!isHeld) throw mayHaveRun('notAcknowledged', 'no majority held the commit in time');
    const { sessionToken, group } = request;
    const token = advanceSessionToken(sessionToken, group, plan.term, position);
    return { ...this.outcome(rows ?? NO_ROWS), sessionToken: token };
  }

  override async rollback(): Promise<StatementOutcome> {
    this.checkOpen();
    this.abort();
    return this.outcome(NO_ROWS);
  }

  /**
   * A connection with a statement still running is closed; else it is rolled back and kept.
   * A commit that was sent runs on to its end or its deadline.
   */
  override abort(): void {
    if (this.hasEnded || this.isCommitting) return;
    const { pooled, onEnd } = this.options;
    this.hasEnded = true;
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
    this.options.pooled.release();
    this.options.onEnd();
  }

  private script(sql: string): Promise<QueryResult[]> {
    const { connection } = this.options.pooled;
    return this.exclusively(() => connection.script(sql, this.timeLeftMs()));
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
    if (isBegin && error.sqlState === UNIQUE_STATE) {
      return mayHaveRun('duplicateRequest', 'a request of this id was recorded before');
    }
    if (error.kind === 'statementFailed') return notRun('statementFailed', error.message);
    if (isBegin) return notRun('noConnection', error.message, RETRY_AFTER_MS);
    return notRun('transactionAborted', error.message);
  }

  private commitRefusalOf(error: unknown): unknown {
    if (error instanceof RefusalError) return error;
    const { request } = this.options;
    const message = error instanceof Error ? error.message : String(error);
    const isRefused =
      error instanceof EndpointError &&
      (error.kind === 'notSent' || error.kind === 'statementFailed');
    if (!request.write || isRefused) {
      const isFailed = error instanceof EndpointError && error.sqlState === ABORTED_STATE;
      return notRun('transactionAborted', isFailed ? 'a statement had failed' : message);
    }
    return mayHaveRun('outcomeUnknown', message);
  }
}

/** Begins a transaction on a connection that is its own until it ends. @throws RefusalError */
const createLocalTransaction = async (options: LocalTransactionOptions): Promise<Transaction> => {
  const transaction = new LocalTransaction(options);
  await transaction.begin();
  return transaction;
};

export default createLocalTransaction;

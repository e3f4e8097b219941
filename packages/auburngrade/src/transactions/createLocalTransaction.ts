import {
  type RefusalError,
  advanceSessionToken,
  isSessionControl,
  createMayHaveRunError,
  createNotRunError,
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
import type GroupClient from '../groups/groupClient';
import type createOutcomeLookup from '../outcome/createOutcomeLookup';
import buildInsertRequestSql from '../outcome/buildInsertRequestSql';
import joinStatementsWithTerm from '../outcome/joinStatementsWithTerm';
import quoteLiteral from '../outcome/quoteLiteral';
import buildRequestRecordId from '../outcome/buildRequestRecordId';
import type PooledConnection from '../groups/pooledConnection';
import type ReadPlan from '../routing/readPlan';
import isCommitExcluded from './isCommitExcluded';
import Transaction from './transaction';

interface LocalTransactionOptions {
  vm: string;
  groupClient: GroupClient;
  request: TransactionRequest;
  plan: ReadPlan;
  pooledConnection: PooledConnection;
  /** Resolves once the result of a statement sent at this time may be returned. */
  confirmResult(sentAtMs: number): Promise<void>;
  outcomeLookup: ReturnType<typeof createOutcomeLookup>;
  onEnd(): void;
  nowMs(): number;
}

/** Short, so that after a begin on an unresponsive connection another one can be tried. */
const BEGIN_TIMEOUT_MS = 1_000;
const ROLLBACK_TIMEOUT_MS = 1_000;
const FAILED_TRANSACTION_SQLSTATE = '25P02';
const STALE_TERM_SQLSTATE = 'AG001';
const UNIQUE_VIOLATION_SQLSTATE = '23505';
const RETRY_AFTER_MS = 200;
const ROLLBACK_RESULT: QueryResult = { columns: [], rows: [], command: 'ROLLBACK', rowCount: 0 };
const COMMIT_RESULT: QueryResult = { columns: [], rows: [], command: 'COMMIT', rowCount: 0 };

/** The record of a transaction has the same form as that of a statement, with COMMIT as its text. */
const toCommitStatement = (request: TransactionRequest): StatementRequest => ({
  ...request,
  sql: 'COMMIT',
  parameters: [],
});

class LocalTransaction extends Transaction {
  private hasEnded = false;

  private isRunning = false;

  private isCommitting = false;

  private stopTermWatch = (): void => {};

  constructor(private readonly options: LocalTransactionOptions) {
    super();
  }

  async begin(): Promise<void> {
    const { request, plan, groupClient } = this.options;
    this.stopTermWatch = groupClient.onTermSuperseded(plan.term, () => this.abort());
    const statements = request.write
      ? ['BEGIN READ WRITE', buildInsertRequestSql(toCommitStatement(request), 'run')]
      : ['BEGIN READ ONLY'];
    try {
      await this.runScript(joinStatementsWithTerm(plan.term, statements), BEGIN_TIMEOUT_MS);
    } catch (error) {
      this.abort();
      if (error instanceof EndpointError && error.sqlState === UNIQUE_VIOLATION_SQLSTATE) {
        await this.rejectDuplicate();
      }
      throw this.toStatementRefusal(error, true);
    }
  }

  override async run(sql: string, parameters: (string | null)[]): Promise<StatementOutcome> {
    this.assertOpen();
    if (isSessionControl(sql)) {
      throw createNotRunError(
        'badRequest',
        'the statement is a transaction or session control command, which is not allowed',
      );
    }
    const { pooledConnection, plan, confirmResult, nowMs } = this.options;
    const sentAtMs = nowMs();
    try {
      const timeoutMs = this.remainingMs();
      const text = `/*term=${plan.term}*/${sql}`;
      const rows = await this.trackRunning(() =>
        pooledConnection.connection.query(text, parameters, timeoutMs),
      );
      await confirmResult(sentAtMs);
      return this.outcome(rows);
    } catch (error) {
      if (!pooledConnection.connection.isUsable()) this.abort();
      throw this.toStatementRefusal(error, false);
    }
  }

  override async commit(): Promise<StatementOutcome> {
    this.assertOpen();
    const { request, plan, groupClient, outcomeLookup, nowMs } = this.options;
    const askedAtMs = nowMs();
    this.isCommitting = true;
    let position: number;
    try {
      const results = await this.runScript(this.buildCommitSql());
      position = this.recordPosition(results.at(-1), askedAtMs);
      this.end();
    } catch (error) {
      this.isCommitting = false;
      this.abort();
      if (!request.write || isCommitExcluded(error, STALE_TERM_SQLSTATE))
        throw this.toCommitRefusal(error);
      return outcomeLookup.resolve(groupClient, toCommitStatement(request));
    }
    if (!request.write) return this.outcome(COMMIT_RESULT);
    const { sessionToken, group, deadlineAtMs } = request;
    const isAcknowledged = await groupClient.waitForAcknowledgement(
      plan.term,
      position,
      deadlineAtMs,
      askedAtMs,
    );
    if (!isAcknowledged) return outcomeLookup.resolve(groupClient, toCommitStatement(request));
    const token = advanceSessionToken(sessionToken, group, plan.term, position);
    return { ...this.outcome(COMMIT_RESULT), sessionToken: token };
  }

  override async rollback(): Promise<StatementOutcome> {
    this.assertOpen();
    this.abort();
    return this.outcome(ROLLBACK_RESULT);
  }

  /**
   * Closes the connection if a statement is still running on it; otherwise rolls back and
   * releases it. A commit that has been sent continues until it is answered or times out.
   */
  override abort(): void {
    if (this.hasEnded || this.isCommitting) return;
    const { pooledConnection, onEnd } = this.options;
    this.hasEnded = true;
    this.stopTermWatch();
    const finish = (): void => {
      pooledConnection.release();
      onEnd();
    };
    if (this.isRunning || !pooledConnection.connection.isUsable()) {
      pooledConnection.connection.close();
      finish();
      return;
    }
    pooledConnection.connection
      .runScript('ROLLBACK', ROLLBACK_TIMEOUT_MS)
      .catch(() => pooledConnection.connection.close())
      .finally(finish);
  }

  private end(): void {
    this.hasEnded = true;
    this.stopTermWatch();
    this.options.pooledConnection.release();
    this.options.onEnd();
  }

  private runScript(sql: string, limitMs = Number.POSITIVE_INFINITY): Promise<QueryResult[]> {
    const { connection } = this.options.pooledConnection;
    const timeoutMs = Math.min(limitMs, this.remainingMs());
    return this.trackRunning(() => connection.runScript(sql, timeoutMs));
  }

  private async trackRunning<Result>(work: () => Promise<Result>): Promise<Result> {
    this.isRunning = true;
    try {
      return await work();
    } finally {
      this.isRunning = false;
    }
  }

  private assertOpen(): void {
    if (this.hasEnded)
      throw createNotRunError('transactionAborted', 'the transaction has been rolled back');
  }

  private remainingMs(): number {
    return Math.max(1, this.options.request.deadlineAtMs - this.options.nowMs());
  }

  private outcome(rows: QueryResult): StatementOutcome {
    const { vm, request, plan } = this.options;
    const servedBy = { vm, endpoint: plan.member, role: plan.role };
    return { rows, sessionToken: request.sessionToken, servedBy };
  }

  /** Always `notRun`: nothing in the transaction can take effect before the commit is sent. */
  private toStatementRefusal(error: unknown, isBegin: boolean): unknown {
    if (!(error instanceof EndpointError)) return error;
    if (error.sqlState === STALE_TERM_SQLSTATE) {
      return createNotRunError('noPrimary', error.message, RETRY_AFTER_MS);
    }
    if (error.kind === 'statementFailed')
      return createNotRunError('statementFailed', error.message);
    if (isBegin) return createNotRunError('noConnection', error.message, RETRY_AFTER_MS);
    return createNotRunError('transactionAborted', error.message);
  }

  private toCommitRefusal(error: unknown): RefusalError {
    const isFailed =
      error instanceof EndpointError && error.sqlState === FAILED_TRANSACTION_SQLSTATE;
    const message = error instanceof Error ? error.message : String(error);
    return createNotRunError(
      'transactionAborted',
      isFailed ? 'an earlier statement of the transaction failed' : message,
    );
  }

  /** The status query carries no term, so that a fence set after the commit cannot hide its success. */
  private buildCommitSql(): string {
    const { request, plan } = this.options;
    const result = quoteLiteral(JSON.stringify(COMMIT_RESULT));
    const id = quoteLiteral(buildRequestRecordId(request));
    const update = `UPDATE auburngrade_request SET result = ${result} WHERE id = ${id}`;
    const statements = request.write ? [update, 'COMMIT'] : ['COMMIT'];
    return `${joinStatementsWithTerm(plan.term, statements)};${MEMBER_STATUS_SQL}`;
  }

  private recordPosition(result: QueryResult | undefined, askedAtMs: number): number {
    const status = toMemberStatus(this.options.plan.member, result, askedAtMs);
    this.options.groupClient.recordStatus(status);
    return status.position;
  }

  /** Rejects with the outcome of the earlier transaction that has the same request id. */
  private async rejectDuplicate(): Promise<never> {
    const { outcomeLookup, groupClient, request } = this.options;
    await outcomeLookup.resolve(groupClient, toCommitStatement(request));
    throw createMayHaveRunError(
      'duplicateRequest',
      'a transaction with this request id has already committed',
    );
  }
}

/** Begins a transaction that keeps its connection checked out until it ends. @throws RefusalError */
const createLocalTransaction = async (options: LocalTransactionOptions): Promise<Transaction> => {
  const transaction = new LocalTransaction(options);
  await transaction.begin();
  return transaction;
};

export default createLocalTransaction;

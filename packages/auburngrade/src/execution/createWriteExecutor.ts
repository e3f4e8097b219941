import {
  advanceSessionToken,
  createNotRunError,
  type StatementOutcome,
  type StatementRequest,
  type TermRecord,
} from '@auburngrade/coordination';
import {
  EndpointError,
  MEMBER_STATUS_SQL,
  toMemberStatus,
  type EndpointConnection,
  type QueryResult,
} from '@auburngrade/endpoint';
import type GroupClient from '../groups/groupClient';
import createOutcomeLookup from '../outcome/createOutcomeLookup';
import buildInsertRequestSql from '../outcome/buildInsertRequestSql';
import joinStatementsWithTerm from '../outcome/joinStatementsWithTerm';
import quoteLiteral from '../outcome/quoteLiteral';
import buildRequestRecordId from '../outcome/buildRequestRecordId';
import rollBack from './rollBack';

interface CommittedWrite {
  rows: QueryResult;
  position: number;
  askedAtMs: number;
}

const UNIQUE_VIOLATION = '23505';
/** SQLSTATEs of a member that is fenced at a later term (AG001) or is read-only (25006). */
const SQLSTATES_NOT_PRIMARY = new Set(['AG001', '25006']);
/** Short, so that a write on a dead connection can still begin on another one. */
const BEGIN_TIMEOUT_MS = 1_000;

/** Runs writes on the primary; stores the request id in the same transaction as the effect. */
const createWriteExecutor = (vm: string, nowMs: () => number) => {
  const outcomeLookup = createOutcomeLookup(vm, nowMs);

  /** Begins and inserts the request's row; resolves to false when its id already has one. */
  const beginWithRequestId = async (
    connection: EndpointConnection,
    request: StatementRequest,
    term: number,
  ): Promise<boolean> => {
    const insert = buildInsertRequestSql(request, 'run');
    const script = joinStatementsWithTerm(term, ['BEGIN READ WRITE', insert]);
    try {
      const timeoutMs = Math.min(BEGIN_TIMEOUT_MS, request.deadlineAtMs - nowMs());
      await connection.runScript(script, timeoutMs);
      return true;
    } catch (error) {
      if (error instanceof EndpointError && error.sqlState === UNIQUE_VIOLATION) return false;
      throw error;
    }
  };

  const commit = async (
    groupClient: GroupClient,
    connection: EndpointConnection,
    request: StatementRequest,
    { term, primary }: TermRecord,
    rows: QueryResult,
  ): Promise<CommittedWrite> => {
    const id = quoteLiteral(buildRequestRecordId(request));
    const result = quoteLiteral(JSON.stringify(rows));
    const update = `UPDATE auburngrade_request SET result = ${result} WHERE id = ${id}`;
    // The status query carries no term, so that a later fence cannot make a committed script fail.
    const script = `${joinStatementsWithTerm(term, [update, 'COMMIT'])};${MEMBER_STATUS_SQL}`;
    const askedAtMs = nowMs();
    const results = await connection.runScript(script, request.deadlineAtMs - askedAtMs);
    const status = toMemberStatus(primary ?? '', results.at(-1), askedAtMs);
    groupClient.recordStatus(status);
    return { rows, position: status.position, askedAtMs };
  };

  /** Whether the member refused as fenced or not primary; it has then not committed. */
  const isNotPrimaryError = (error: unknown): boolean =>
    error instanceof EndpointError && SQLSTATES_NOT_PRIMARY.has(error.sqlState ?? '');

  /** Converts an error before COMMIT was sent to a `notRun` refusal: nothing was committed. */
  const toPreCommitRefusal = (error: unknown): unknown => {
    if (!(error instanceof EndpointError)) return error;
    if (isNotPrimaryError(error)) return createNotRunError('noPrimary', error.message);
    const code = error.kind === 'statementFailed' ? 'statementFailed' : 'connectionLost';
    return createNotRunError(code, error.message);
  };

  /** Returns undefined when the outcome is only known after a lookup of the request id. */
  const runTransaction = async (
    groupClient: GroupClient,
    connection: EndpointConnection,
    request: StatementRequest,
    record: TermRecord,
  ): Promise<CommittedWrite | undefined> => {
    const { term } = record;
    let rows: QueryResult;
    try {
      if (!(await beginWithRequestId(connection, request, term))) {
        await rollBack(connection);
        return undefined;
      }
      const sql = `/*term=${term}*/${request.sql}`;
      rows = await connection.query(sql, request.parameters, request.deadlineAtMs - nowMs());
    } catch (error) {
      await rollBack(connection);
      throw toPreCommitRefusal(error);
    }
    try {
      return await commit(groupClient, connection, request, record, rows);
    } catch (error) {
      await rollBack(connection);
      if (isNotPrimaryError(error)) throw toPreCommitRefusal(error);
      return undefined;
    }
  };

  const runOnPrimary = async (
    groupClient: GroupClient,
    request: StatementRequest,
    record: TermRecord,
    primary: string,
  ): Promise<CommittedWrite | undefined> => {
    const { account, deadlineAtMs } = request;
    const pooled = await groupClient.acquirePrimary({ ...record, primary }, account, deadlineAtMs);
    try {
      return await runTransaction(groupClient, pooled.connection, request, record);
    } finally {
      if (!pooled.connection.isUsable()) groupClient.poll();
      pooled.release();
    }
  };

  return {
    /** Runs a write in the current term; callers first wait for a primary. @throws RefusalError */
    execute: async (
      groupClient: GroupClient,
      request: StatementRequest,
    ): Promise<StatementOutcome> => {
      const record = groupClient.record();
      if (record?.state !== 'active' || !record.primary) {
        throw createNotRunError('noPrimary', `group ${groupClient.name} has no primary`);
      }
      const { term, primary } = record;
      const committed = await runOnPrimary(groupClient, request, record, primary);
      if (!committed) return outcomeLookup.resolve(groupClient, request);
      const { rows, position, askedAtMs } = committed;
      const { group, sessionToken, deadlineAtMs } = request;
      const isAcknowledged = await groupClient.waitForAcknowledgement(
        term,
        position,
        deadlineAtMs,
        askedAtMs,
      );
      if (!isAcknowledged) return outcomeLookup.resolve(groupClient, request);
      return {
        rows,
        sessionToken: advanceSessionToken(sessionToken, group, term, position),
        servedBy: { vm, endpoint: primary, role: 'primary' },
      };
    },
  };
};

export default createWriteExecutor;

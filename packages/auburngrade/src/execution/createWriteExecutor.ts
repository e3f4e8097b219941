import {
  advanceSessionToken,
  notRun,
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
import type GroupHolder from '../groups/groupHolder';
import createOutcomeLookup from '../outcome/createOutcomeLookup';
import insertRequestSql from '../outcome/insertRequestSql';
import joinStatements from '../outcome/joinStatements';
import quoteLiteral from '../outcome/quoteLiteral';
import requestRecordId from '../outcome/requestRecordId';
import rollBack from './rollBack';

interface Committed {
  rows: QueryResult;
  position: number;
  askedAtMs: number;
}

const UNIQUE_VIOLATION = '23505';
/** The member obeys a later term, or takes no writes. */
const NOT_PRIMARY_STATES = new Set(['AG001', '25006']);
/** A connection that went silent is given up so early that the write can begin on another. */
const BEGIN_TIMEOUT_MS = 1_000;

/** Runs writes on the primary; the request id is written in the same transaction as the effect. */
const createWriteExecutor = (vm: string, nowMs: () => number) => {
  const lookup = createOutcomeLookup(vm, nowMs);

  /** Resolves with false when the id has a row already. */
  const begin = async (
    connection: EndpointConnection,
    request: StatementRequest,
    term: number,
  ): Promise<boolean> => {
    const insert = insertRequestSql(request, 'run');
    const script = joinStatements(term, ['BEGIN READ WRITE', insert]);
    try {
      const timeoutMs = Math.min(BEGIN_TIMEOUT_MS, request.deadlineAtMs - nowMs());
      await connection.script(script, timeoutMs);
      return true;
    } catch (error) {
      if (error instanceof EndpointError && error.sqlState === UNIQUE_VIOLATION) return false;
      throw error;
    }
  };

  const commit = async (
    holder: GroupHolder,
    connection: EndpointConnection,
    request: StatementRequest,
    { term, primary }: TermRecord,
    rows: QueryResult,
  ): Promise<Committed> => {
    const id = quoteLiteral(requestRecordId(request));
    const result = quoteLiteral(JSON.stringify(rows));
    const update = `UPDATE auburngrade_request SET result = ${result} WHERE id = ${id}`;
    // The status comes without a term, so that a fence after the commit can't hide its success.
    const script = `${joinStatements(term, [update, 'COMMIT'])};${MEMBER_STATUS_SQL}`;
    const askedAtMs = nowMs();
    const results = await connection.script(script, request.deadlineAtMs - askedAtMs);
    const status = toMemberStatus(primary ?? '', results.at(-1), askedAtMs);
    holder.noteStatus(status);
    return { rows, position: status.position, askedAtMs };
  };

  /** A member that obeys a later term, or is no primary, has not committed. */
  const isRefusedByTerm = (error: unknown): boolean =>
    error instanceof EndpointError && NOT_PRIMARY_STATES.has(error.sqlState ?? '');

  /** Nothing can have been committed before the commit was sent. */
  const beforeCommit = (error: unknown): unknown => {
    if (!(error instanceof EndpointError)) return error;
    if (isRefusedByTerm(error)) return notRun('noPrimary', error.message);
    const code = error.kind === 'statementFailed' ? 'statementFailed' : 'connectionLost';
    return notRun(code, error.message);
  };

  /** Undefined when only a lookup can tell what became of the request. */
  const runTransaction = async (
    holder: GroupHolder,
    connection: EndpointConnection,
    request: StatementRequest,
    record: TermRecord,
  ): Promise<Committed | undefined> => {
    const { term } = record;
    let rows: QueryResult;
    try {
      if (!(await begin(connection, request, term))) {
        await rollBack(connection);
        return undefined;
      }
      const sql = `/*term=${term}*/${request.sql}`;
      rows = await connection.query(sql, request.parameters, request.deadlineAtMs - nowMs());
    } catch (error) {
      await rollBack(connection);
      throw beforeCommit(error);
    }
    try {
      return await commit(holder, connection, request, record, rows);
    } catch (error) {
      await rollBack(connection);
      if (isRefusedByTerm(error)) throw beforeCommit(error);
      return undefined;
    }
  };

  const runOnPrimary = async (
    holder: GroupHolder,
    request: StatementRequest,
    record: TermRecord,
    primary: string,
  ): Promise<Committed | undefined> => {
    const { account, deadlineAtMs } = request;
    const pooled = await holder.acquirePrimary({ ...record, primary }, account, deadlineAtMs);
    try {
      return await runTransaction(holder, pooled.connection, request, record);
    } finally {
      if (!pooled.connection.isUsable()) holder.poll();
      pooled.release();
    }
  };

  return {
    /** Runs a write in the present term; the caller has waited for its primary. @throws RefusalError */
    execute: async (holder: GroupHolder, request: StatementRequest): Promise<StatementOutcome> => {
      const record = holder.record();
      if (record?.state !== 'active' || !record.primary) {
        throw notRun('noPrimary', `group ${holder.name} has no primary`);
      }
      const { term, primary } = record;
      const committed = await runOnPrimary(holder, request, record, primary);
      if (!committed) return lookup.resolve(holder, request);
      const { rows, position, askedAtMs } = committed;
      const { group, sessionToken, deadlineAtMs } = request;
      const isHeld = await holder.waitAcknowledged(term, position, deadlineAtMs, askedAtMs);
      if (!isHeld) return lookup.resolve(holder, request);
      return {
        rows,
        sessionToken: advanceSessionToken(sessionToken, group, term, position),
        servedBy: { vm, endpoint: primary, role: 'primary' },
      };
    },
  };
};

export default createWriteExecutor;

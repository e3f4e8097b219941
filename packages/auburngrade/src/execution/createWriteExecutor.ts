import {
  advanceSessionToken,
  mayHaveRun,
  notRun,
  type StatementOutcome,
  type StatementRequest,
  type TermRecord,
} from '@auburngrade/coordination';
import { EndpointError, type EndpointConnection, type QueryResult } from '@auburngrade/endpoint';
import type GroupHolder from '../groups/groupHolder';

const quote = (text: string): string => `'${text.replaceAll("'", "''")}'`;
const STATUS_SQL = 'SELECT role, fenced_term, log_term, position FROM auburngrade_member_status()';

/** The id under which a request's effect is recorded: ids of one client account are its own. */
const recordIdOf = (request: StatementRequest): string =>
  `${request.account ?? ''}/${request.requestId}`;

const joinStatements = (term: number, statements: string[]): string =>
  statements.map((statement) => `/*term=${term}*/${statement}`).join(';');

/** Runs writes on the primary; the request id is written in the same transaction as the effect. */
const createWriteExecutor = (vm: string, nowMs: () => number) => {
  const begin = async (
    connection: EndpointConnection,
    request: StatementRequest,
    term: number,
  ): Promise<void> => {
    const insert = `INSERT INTO auburngrade_request (id, state) VALUES (${quote(recordIdOf(request))}, 'run')`;
    const script = joinStatements(term, ['BEGIN READ WRITE', insert]);
    await connection.script(script, request.deadlineAtMs - nowMs());
  };

  const commit = async (
    connection: EndpointConnection,
    request: StatementRequest,
    term: number,
    result: QueryResult,
  ): Promise<number> => {
    const update = `UPDATE auburngrade_request SET result = ${quote(JSON.stringify(result))} WHERE id = ${quote(recordIdOf(request))}`;
    const script = joinStatements(term, [update, 'COMMIT', STATUS_SQL]);
    const results = await connection.script(script, request.deadlineAtMs - nowMs());
    return Number(results.at(-1)?.rows[0]?.[3]);
  };

  const beforeCommit = (error: unknown): unknown => {
    if (!(error instanceof EndpointError)) return error;
    const code = error.kind === 'statementFailed' ? 'statementFailed' : 'connectionLost';
    return notRun(code, error.message);
  };

  const runTransaction = async (
    connection: EndpointConnection,
    request: StatementRequest,
    term: number,
  ): Promise<{ rows: QueryResult; position: number }> => {
    let rows: QueryResult;
    try {
      await begin(connection, request, term);
      const sql = `/*term=${term}*/${request.sql}`;
      rows = await connection.query(sql, request.parameters, request.deadlineAtMs - nowMs());
    } catch (error) {
      if (connection.isUsable()) await connection.script('ROLLBACK', 1_000).catch(() => {});
      throw beforeCommit(error);
    }
    try {
      return { rows, position: await commit(connection, request, term, rows) };
    } catch (error) {
      throw mayHaveRun('outcomeUnknown', error instanceof Error ? error.message : String(error));
    }
  };

  const primaryOf = (holder: GroupHolder): { record: TermRecord; primary: string } => {
    const record = holder.record();
    if (!record?.primary || record.state !== 'active') {
      throw notRun('noPrimary', `group ${holder.name} has no primary`);
    }
    return { record, primary: record.primary };
  };

  return {
    /** @throws RefusalError */
    execute: async (holder: GroupHolder, request: StatementRequest): Promise<StatementOutcome> => {
      const { record, primary } = primaryOf(holder);
      const pooled = await holder.acquire(primary, request.account, request.deadlineAtMs);
      let committed: { rows: QueryResult; position: number };
      try {
        committed = await runTransaction(pooled.connection, request, record.term);
      } finally {
        pooled.release();
      }
      const { rows, position } = committed;
      const isHeld = await holder.waitAcknowledged(record.term, position, request.deadlineAtMs);
      if (!isHeld) throw mayHaveRun('notAcknowledged', 'no majority held the write in time');
      const { group, sessionToken } = request;
      return {
        rows,
        sessionToken: advanceSessionToken(sessionToken, group, record.term, position),
        servedBy: { vm, endpoint: primary, role: 'primary' },
      };
    },
  };
};

export default createWriteExecutor;

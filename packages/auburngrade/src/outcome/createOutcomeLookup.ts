import {
  advanceSessionToken,
  judgeRequest,
  mayHaveRun,
  notRun,
  type RequestFinding,
  type RequestRecord,
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
import sleep from '../time/sleep';
import insertRequestSql from './insertRequestSql';
import joinStatements from './joinStatements';
import quoteLiteral from './quoteLiteral';
import requestFingerprint from './requestFingerprint';
import requestRecordId from './requestRecordId';
import rollBack from '../execution/rollBack';

interface Located {
  finding: RequestFinding;
  position: number;
}

const UNIQUE_VIOLATION = '23505';
const RETRY_DELAY_MS = 20;
const EMPTY_RESULT: QueryResult = { columns: [], rows: [], command: '', rowCount: 0 };

const toRecord = (result: QueryResult | undefined): RequestRecord | undefined => {
  const [state, stored, fingerprint] = result?.rows[0] ?? [];
  if (state !== 'run' && state !== 'cancelled') return undefined;
  return { state, result: stored ?? null, fingerprint: fingerprint ?? null };
};

/** Finds out on the current primary whether a request ran, and cancels it when it did not. */
const createOutcomeLookup = (vm: string, nowMs: () => number) => {
  const runScript = async (
    holder: GroupHolder,
    connection: EndpointConnection,
    member: string,
    script: string,
    deadlineAtMs: number,
  ): Promise<{ results: QueryResult[]; position: number; askedAtMs: number }> => {
    const askedAtMs = nowMs();
    const results = await connection.script(script, deadlineAtMs - askedAtMs);
    const status = toMemberStatus(member, results.at(-1), askedAtMs);
    holder.noteStatus(status);
    return { results, position: status.position, askedAtMs };
  };

  const find = async (
    holder: GroupHolder,
    request: StatementRequest,
    { term }: TermRecord,
    primary: string,
    connection: EndpointConnection,
  ): Promise<Located> => {
    const run = (statements: string[]) =>
      runScript(
        holder,
        connection,
        primary,
        joinStatements(term, statements),
        request.deadlineAtMs,
      );
    const held = ({ position, askedAtMs }: { position: number; askedAtMs: number }) =>
      holder.waitAcknowledged(term, position, request.deadlineAtMs, askedAtMs);
    try {
      const insert = insertRequestSql(request, 'cancelled');
      const inserted = await run(['BEGIN READ WRITE', insert, 'COMMIT', MEMBER_STATUS_SQL]);
      const { position } = inserted;
      return { finding: { kind: 'cancelledNow', isHeld: await held(inserted) }, position };
    } catch (error) {
      await rollBack(connection);
      if (!(error instanceof EndpointError) || error.sqlState !== UNIQUE_VIOLATION) throw error;
    }
    const id = quoteLiteral(requestRecordId(request));
    const select = `SELECT state, result, fingerprint FROM auburngrade_request WHERE id = ${id}`;
    const selected = await run([select, MEMBER_STATUS_SQL]);
    const { position } = selected;
    const record = toRecord(selected.results[0]);
    if (!record) return { finding: { kind: 'unreachable' }, position };
    return { finding: { kind: 'found', record, isHeld: await held(selected) }, position };
  };

  const locate = async (
    holder: GroupHolder,
    request: StatementRequest,
    record: TermRecord,
    primary: string,
  ): Promise<Located> => {
    try {
      const { account, deadlineAtMs } = request;
      const pooled = await holder.acquirePrimary({ ...record, primary }, account, deadlineAtMs);
      try {
        return await find(holder, request, record, primary, pooled.connection);
      } finally {
        pooled.release();
      }
    } catch {
      return { finding: { kind: 'unreachable' }, position: 0 };
    }
  };

  const lookUpOnce = async (
    holder: GroupHolder,
    request: StatementRequest,
  ): Promise<StatementOutcome | undefined> => {
    const record = holder.record();
    if (!record?.primary || record.state !== 'active') return undefined;
    const { finding, position } = await locate(holder, request, record, record.primary);
    const judgement = judgeRequest(finding, requestFingerprint(request));
    if (judgement.kind === 'open') return undefined;
    if (judgement.kind === 'cancelled') {
      throw notRun('transactionAborted', 'the request had no effect; its id is used up');
    }
    if (judgement.kind === 'otherStatement') {
      throw notRun('duplicateRequest', 'the request id was used for another statement');
    }
    return {
      rows:
        judgement.result === null ? EMPTY_RESULT : (JSON.parse(judgement.result) as QueryResult),
      sessionToken: advanceSessionToken(request.sessionToken, request.group, record.term, position),
      servedBy: { vm, endpoint: record.primary, role: 'primary' },
    };
  };

  return {
    /**
     * Gives the outcome of a request that ran.
     * @throws RefusalError `notRun` when it can have no effect any more, `mayHaveRun`
     * when there was no proof before the deadline.
     */
    resolve: async (holder: GroupHolder, request: StatementRequest): Promise<StatementOutcome> => {
      while (nowMs() < request.deadlineAtMs) {
        const outcome = await lookUpOnce(holder, request);
        if (outcome) return outcome;
        await sleep(RETRY_DELAY_MS);
      }
      throw mayHaveRun('outcomeUnknown', 'no proof of the outcome before the deadline');
    },
  };
};

export default createOutcomeLookup;

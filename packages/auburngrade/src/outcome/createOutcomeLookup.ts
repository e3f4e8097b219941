import {
  advanceSessionToken,
  resolveRequestOutcome,
  createMayHaveRunError,
  createNotRunError,
  type RequestLookupResult,
  type RequestRow,
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
import sleep from '../time/sleep';
import buildInsertRequestSql from './buildInsertRequestSql';
import joinStatementsWithTerm from './joinStatementsWithTerm';
import quoteLiteral from './quoteLiteral';
import computeRequestFingerprint from './computeRequestFingerprint';
import buildRequestRecordId from './buildRequestRecordId';
import rollBack from '../execution/rollBack';

interface LookupResult {
  finding: RequestLookupResult;
  position: number;
}

const UNIQUE_VIOLATION = '23505';
const RETRY_DELAY_MS = 20;
const EMPTY_RESULT: QueryResult = { columns: [], rows: [], command: '', rowCount: 0 };

const toRequestRecord = (result: QueryResult | undefined): RequestRow | undefined => {
  const [state, storedResult, fingerprint] = result?.rows[0] ?? [];
  if (state !== 'run' && state !== 'cancelled') return undefined;
  return { state, result: storedResult ?? null, fingerprint: fingerprint ?? null };
};

/** Determines on the current primary whether a request ran; cancels its id if it did not. */
const createOutcomeLookup = (vm: string, nowMs: () => number) => {
  const runScript = async (
    groupClient: GroupClient,
    connection: EndpointConnection,
    member: string,
    script: string,
    deadlineAtMs: number,
  ): Promise<{ results: QueryResult[]; position: number; askedAtMs: number }> => {
    const askedAtMs = nowMs();
    const results = await connection.runScript(script, deadlineAtMs - askedAtMs);
    const status = toMemberStatus(member, results.at(-1), askedAtMs);
    groupClient.recordStatus(status);
    return { results, position: status.position, askedAtMs };
  };

  const cancelOrFind = async (
    groupClient: GroupClient,
    request: StatementRequest,
    { term }: TermRecord,
    primary: string,
    connection: EndpointConnection,
  ): Promise<LookupResult> => {
    const run = (statements: string[]) =>
      runScript(
        groupClient,
        connection,
        primary,
        joinStatementsWithTerm(term, statements),
        request.deadlineAtMs,
      );
    const waitForMajority = ({ position, askedAtMs }: { position: number; askedAtMs: number }) =>
      groupClient.waitForAcknowledgement(term, position, request.deadlineAtMs, askedAtMs);
    try {
      const insert = buildInsertRequestSql(request, 'cancelled');
      const inserted = await run(['BEGIN READ WRITE', insert, 'COMMIT', MEMBER_STATUS_SQL]);
      const { position } = inserted;
      return {
        finding: { kind: 'cancelledNow', isHeld: await waitForMajority(inserted) },
        position,
      };
    } catch (error) {
      await rollBack(connection);
      if (!(error instanceof EndpointError) || error.sqlState !== UNIQUE_VIOLATION) throw error;
    }
    const id = quoteLiteral(buildRequestRecordId(request));
    const select = `SELECT state, result, fingerprint FROM auburngrade_request WHERE id = ${id}`;
    const selected = await run([select, MEMBER_STATUS_SQL]);
    const { position } = selected;
    const record = toRequestRecord(selected.results[0]);
    if (!record) return { finding: { kind: 'unreachable' }, position };
    return {
      finding: { kind: 'found', record, isHeld: await waitForMajority(selected) },
      position,
    };
  };

  const lookUpOnPrimary = async (
    groupClient: GroupClient,
    request: StatementRequest,
    record: TermRecord,
    primary: string,
  ): Promise<LookupResult> => {
    try {
      const { account, deadlineAtMs } = request;
      const pooled = await groupClient.acquirePrimary(
        { ...record, primary },
        account,
        deadlineAtMs,
      );
      try {
        return await cancelOrFind(groupClient, request, record, primary, pooled.connection);
      } finally {
        pooled.release();
      }
    } catch {
      return { finding: { kind: 'unreachable' }, position: 0 };
    }
  };

  const lookUpOnce = async (
    groupClient: GroupClient,
    request: StatementRequest,
  ): Promise<StatementOutcome | undefined> => {
    const record = groupClient.record();
    if (!record?.primary || record.state !== 'active') return undefined;
    const { finding, position } = await lookUpOnPrimary(
      groupClient,
      request,
      record,
      record.primary,
    );
    const judgement = resolveRequestOutcome(finding, computeRequestFingerprint(request));
    if (judgement.kind === 'open') return undefined;
    if (judgement.kind === 'cancelled') {
      throw createNotRunError(
        'transactionAborted',
        'the request had no effect; its request id is cancelled',
      );
    }
    if (judgement.kind === 'otherStatement') {
      throw createNotRunError(
        'duplicateRequest',
        'the request id was already used for another statement',
      );
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
     * Returns the outcome of a request that ran.
     * @throws RefusalError `notRun` when the request can no longer take effect, `mayHaveRun`
     * when its outcome was not determined before the deadline.
     */
    resolve: async (
      groupClient: GroupClient,
      request: StatementRequest,
    ): Promise<StatementOutcome> => {
      while (nowMs() < request.deadlineAtMs) {
        const outcome = await lookUpOnce(groupClient, request);
        if (outcome) return outcome;
        await sleep(RETRY_DELAY_MS);
      }
      throw createMayHaveRunError(
        'outcomeUnknown',
        'the outcome of the request could not be determined before the deadline',
      );
    },
  };
};

export default createOutcomeLookup;

import {
  isFreshForToken,
  mayHaveRun,
  notRun,
  type MemberStatus,
  type StatementOutcome,
  type StatementRequest,
  type TermRecord,
} from '@auburngrade/coordination';
import { EndpointError, type QueryResult } from '@auburngrade/endpoint';
import type GroupHolder from '../groups/groupHolder';

const isReplicaFresh = (
  status: MemberStatus,
  request: StatementRequest,
  record: TermRecord,
): boolean =>
  status.member !== record.primary &&
  isFreshForToken(status, request.sessionToken[request.group], record);

/** Runs reads on a replica that has applied what the session wrote, else on the primary. */
const createReadExecutor = (vm: string, nowMs: () => number) => {
  const choose = (holder: GroupHolder, request: StatementRequest, record: TermRecord): string => {
    const fresh = holder.statuses().filter((status) => isReplicaFresh(status, request, record));
    const replica = fresh[Math.floor(Math.random() * fresh.length)];
    const member = replica?.member ?? record.primary;
    if (member === undefined) throw notRun('noPrimary', `group ${holder.name} has no primary`);
    return member;
  };

  const run = async (
    holder: GroupHolder,
    request: StatementRequest,
    member: string,
    term: number,
  ): Promise<QueryResult> => {
    const pooled = await holder.acquire(member, request.account, request.deadlineAtMs);
    try {
      const sql = `/*term=${term}*/${request.sql}`;
      const timeoutMs = request.deadlineAtMs - nowMs();
      return await pooled.connection.query(sql, request.parameters, timeoutMs);
    } catch (error) {
      if (!(error instanceof EndpointError)) throw error;
      if (error.kind === 'statementFailed') throw notRun('statementFailed', error.message);
      if (error.kind === 'notSent') throw notRun('noConnection', error.message);
      throw mayHaveRun('connectionLost', error.message);
    } finally {
      pooled.release();
    }
  };

  return {
    /** @throws RefusalError */
    execute: async (holder: GroupHolder, request: StatementRequest): Promise<StatementOutcome> => {
      const record = holder.record();
      if (!record) throw notRun('noPrimary', `group ${holder.name} has no term yet`);
      const member = choose(holder, request, record);
      const rows = await run(holder, request, member, record.term);
      const role = member === record.primary ? 'primary' : 'replica';
      return { rows, sessionToken: request.sessionToken, servedBy: { vm, endpoint: member, role } };
    },
  };
};

export default createReadExecutor;

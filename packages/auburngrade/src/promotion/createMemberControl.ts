import type { Member, MemberStatus } from '@auburngrade/coordination';
import {
  EndpointError,
  MEMBER_STATUS_SQL,
  toMemberStatus,
  type QueryResult,
} from '@auburngrade/endpoint';
import type GroupClient from '../groups/groupClient';

const CONTROL_TIMEOUT_MS = 350;

interface PromotionResult {
  /** Position of the last entry of earlier terms. */
  startPosition: number;
  /** Position of the new term's first entry. */
  markPosition: number;
}

/** Runs the control statements on group members: fence at a term, promote, follow an upstream. */
const createMemberControl = (groupClient: GroupClient, nowMs: () => number) => {
  const runStatements = async (member: string, statements: string[]): Promise<QueryResult[]> => {
    const pooled = await groupClient.acquireControl(member, nowMs() + CONTROL_TIMEOUT_MS);
    try {
      return await pooled.connection.runScript(statements.join(';'), CONTROL_TIMEOUT_MS);
    } catch (error) {
      if (pooled.connection.isUsable()) {
        await pooled.connection.runScript('ROLLBACK', CONTROL_TIMEOUT_MS).catch(() => {});
      }
      throw error;
    } finally {
      pooled.release();
    }
  };

  const runForStatus = async (member: string, statement: string): Promise<MemberStatus> => {
    const askedAtMs = nowMs();
    const results = await runStatements(member, [statement, MEMBER_STATUS_SQL]);
    const status = toMemberStatus(member, results.at(-1), askedAtMs);
    groupClient.recordStatus(status);
    return status;
  };

  const isUniqueViolation = (error: unknown): boolean =>
    error instanceof EndpointError && error.sqlState === '23505';

  return {
    fence: (member: string, term: number): Promise<MemberStatus> =>
      runForStatus(member, `SELECT auburngrade_fence(${term})`),

    /** Promotes; writes the term's first entry, which shows how much of the earlier log is valid. */
    promote: async (member: string, term: number): Promise<PromotionResult> => {
      const statusBefore = await runForStatus(member, `SELECT auburngrade_promote(${term})`);
      const termComment = `/*term=${term}*/`;
      const insert = `INSERT INTO auburngrade_request (id, state) VALUES ('term/${term}', 'cancelled')`;
      const firstEntryScript = [
        `${termComment}BEGIN READ WRITE`,
        `${termComment}${insert}`,
        `${termComment}COMMIT`,
      ];
      await runStatements(member, firstEntryScript).catch((error: unknown) => {
        if (!isUniqueViolation(error)) throw error;
      });
      const statusAfter = await runForStatus(member, `SELECT auburngrade_fence(${term})`);
      return { startPosition: statusBefore.position, markPosition: statusAfter.position };
    },

    follow: async (member: string, term: number, upstream: Member): Promise<void> => {
      const { host, replicationPort } = upstream;
      const sql = `SELECT auburngrade_follow(${term}, '${host.replaceAll("'", "''")}', ${replicationPort})`;
      await runForStatus(member, sql);
    },
  };
};

export default createMemberControl;

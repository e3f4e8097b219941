import type { Member, MemberStatus } from '@auburngrade/coordination';
import {
  EndpointError,
  MEMBER_STATUS_SQL,
  toMemberStatus,
  type QueryResult,
} from '@auburngrade/endpoint';
import type GroupHolder from '../groups/groupHolder';

const CONTROL_TIMEOUT_MS = 350;

interface Promoted {
  /** Position of the last entry of earlier terms. */
  startPosition: number;
  /** Position of the new term's first entry. */
  markPosition: number;
}

/** Orders fences, promotions and changes of upstream at the members of a group. */
const createMemberControl = (holder: GroupHolder, nowMs: () => number) => {
  const run = async (member: string, statements: string[]): Promise<QueryResult[]> => {
    const pooled = await holder.acquireControl(member, nowMs() + CONTROL_TIMEOUT_MS);
    try {
      return await pooled.connection.script(statements.join(';'), CONTROL_TIMEOUT_MS);
    } catch (error) {
      if (pooled.connection.isUsable()) {
        await pooled.connection.script('ROLLBACK', CONTROL_TIMEOUT_MS).catch(() => {});
      }
      throw error;
    } finally {
      pooled.release();
    }
  };

  const runForStatus = async (member: string, statement: string): Promise<MemberStatus> => {
    const askedAtMs = nowMs();
    const results = await run(member, [statement, MEMBER_STATUS_SQL]);
    const status = toMemberStatus(member, results.at(-1), askedAtMs);
    holder.noteStatus(status);
    return status;
  };

  const isDuplicate = (error: unknown): boolean =>
    error instanceof EndpointError && error.sqlState === '23505';

  return {
    fence: (member: string, term: number): Promise<MemberStatus> =>
      runForStatus(member, `SELECT auburngrade_fence(${term})`),

    /** Promotes and writes the term's first entry, which shows later what holds of the earlier log. */
    promote: async (member: string, term: number): Promise<Promoted> => {
      const start = await runForStatus(member, `SELECT auburngrade_promote(${term})`);
      const comment = `/*term=${term}*/`;
      const insert = `INSERT INTO auburngrade_request (id, state) VALUES ('term/${term}', 'cancelled')`;
      const mark = [`${comment}BEGIN READ WRITE`, `${comment}${insert}`, `${comment}COMMIT`];
      await run(member, mark).catch((error: unknown) => {
        if (!isDuplicate(error)) throw error;
      });
      const end = await runForStatus(member, `SELECT auburngrade_fence(${term})`);
      return { startPosition: start.position, markPosition: end.position };
    },

    follow: async (member: string, term: number, upstream: Member): Promise<void> => {
      const { host, replicationPort } = upstream;
      const sql = `SELECT auburngrade_follow(${term}, '${host.replaceAll("'", "''")}', ${replicationPort})`;
      await runForStatus(member, sql);
    },
  };
};

export default createMemberControl;

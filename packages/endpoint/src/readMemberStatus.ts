import type { MemberStatus } from '@auburngrade/coordination';
import type EndpointConnection from './endpointConnection';
import EndpointError from './endpointError';

/** Asks a member for its role, fenced term and log position. */
const STATUS_SQL = 'SELECT role, fenced_term, log_term, position FROM auburngrade_member_status()';

/** Polls one member. @throws EndpointError */
const readMemberStatus = async (
  connection: EndpointConnection,
  member: string,
  timeoutMs: number,
  nowMs: () => number,
): Promise<MemberStatus> => {
  const askedAtMs = nowMs();
  const { rows } = await connection.query(STATUS_SQL, [], timeoutMs);
  const [role, fencedTerm, logTerm, position] = rows[0] ?? [];
  if (role !== 'primary' && role !== 'replica') {
    throw new EndpointError('statementFailed', `unexpected member role ${role}`);
  }
  return {
    member,
    role,
    fencedTerm: Number(fencedTerm),
    logTerm: Number(logTerm),
    position: Number(position),
    askedAtMs,
  };
};

export default readMemberStatus;

import type { MemberStatus } from '@auburngrade/coordination';
import type EndpointConnection from './endpointConnection';
import MEMBER_STATUS_SQL from './memberStatusSql';
import toMemberStatus from './toMemberStatus';

/** Queries the status of one member. @throws EndpointError */
const readMemberStatus = async (
  connection: EndpointConnection,
  member: string,
  timeoutMs: number,
  nowMs: () => number,
): Promise<MemberStatus> => {
  const askedAtMs = nowMs();
  const result = await connection.query(MEMBER_STATUS_SQL, [], timeoutMs);
  return toMemberStatus(member, result, askedAtMs);
};

export default readMemberStatus;

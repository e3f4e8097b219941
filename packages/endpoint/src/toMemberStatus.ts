import type { MemberStatus } from '@auburngrade/coordination';
import EndpointError from './endpointError';
import type QueryResult from './queryResult';

/** Decodes the row of `auburngrade_member_status()`. @throws EndpointError for an unknown role. */
const toMemberStatus = (
  member: string,
  result: QueryResult | undefined,
  askedAtMs: number,
): MemberStatus => {
  const [role, fencedTerm, logTerm, position] = result?.rows[0] ?? [];
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

export default toMemberStatus;

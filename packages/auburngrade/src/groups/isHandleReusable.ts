import { connectionsPerMember, type Group, type Member } from '@auburngrade/coordination';
import type MemberHandle from './memberHandle';

/** Whether a handle from the group's previous document can serve the member in the new one. */
const isHandleReusable = (handle: MemberHandle, member: Member, group: Group): boolean =>
  handle.member.host === member.host &&
  handle.member.port === member.port &&
  handle.member.dataCentre === member.dataCentre &&
  handle.group.database === group.database &&
  handle.group.user === group.user &&
  connectionsPerMember(handle.group) === connectionsPerMember(group) &&
  !(handle.data.isClosed() && member.state === 'active');

export default isHandleReusable;

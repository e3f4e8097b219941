import { connectionShare, type Group, type Member } from '@auburngrade/coordination';
import type MemberHandle from './memberHandle';

/** Whether connections that were opened by one document suit a member by another. */
const isHandleSuitable = (handle: MemberHandle, member: Member, group: Group): boolean =>
  handle.member.host === member.host &&
  handle.member.port === member.port &&
  handle.group.database === group.database &&
  handle.group.user === group.user &&
  connectionShare(handle.group) === connectionShare(group) &&
  !(handle.data.isClosed() && member.state === 'active');

export default isHandleSuitable;

import type { Group, Member } from '@auburngrade/coordination';
import type ConnectionPool from './connectionPool';
import type StatusPoller from './statusPoller';

/** What a VM has of one member of a database group. */
interface MemberHandle {
  /** The document by which the connections were opened. */
  group: Group;
  member: Member;
  control: ConnectionPool;
  data: ConnectionPool;
  poller: StatusPoller;
}

export default MemberHandle;

import type { Group, Member } from '@auburngrade/coordination';
import type ConnectionPool from './connectionPool';
import type StatusPoller from './statusPoller';

/** Connection pools and status poller of one member of a database group. */
interface MemberHandle {
  /** The group document that the connections were opened with. */
  group: Group;
  member: Member;
  control: ConnectionPool;
  data: ConnectionPool;
  poller: StatusPoller;
}

export default MemberHandle;

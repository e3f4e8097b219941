import {
  CONTROL_CONNECTIONS,
  connectionsPerMember,
  slotTimings,
  type Group,
  type Member,
} from '@auburngrade/coordination';
import { createPgEndpoint, type Endpoint } from '@auburngrade/endpoint';
import type AddressBook from '../settings/addressBook';
import createConnectionPool from './createConnectionPool';
import createStatusPoller from './createStatusPoller';
import type MemberHandle from './memberHandle';
import type PoolOptions from './poolOptions';

interface MemberHandleOptions {
  vm: string;
  group: Group;
  addresses: AddressBook;
  poolOptions: Partial<PoolOptions> & Pick<PoolOptions, 'mayOpen'>;
  /** Whether statements of callers may run on the member now. */
  isInUse(member: Member): boolean;
  nowMs(): number;
}

/** Short, so that status polls are retried soon: they show which members are up. */
const CONTROL_CONNECT_TIMEOUT_MS = 350;

/** Creates the control and data connection pools and the status poller of one group member. */
const createMemberHandle = (
  member: Member,
  { vm, group, addresses, poolOptions, isInUse, nowMs }: MemberHandleOptions,
): MemberHandle => {
  const createEndpoint = (purpose: string): Endpoint =>
    createPgEndpoint({
      ...addresses.resolve(member.host, member.port),
      database: group.database,
      user: group.user,
      applicationName: `auburngrade/${vm}/${purpose}`,
      idleTimeoutMs: slotTimings.idleTimeoutMs,
    });
  const control = createConnectionPool(createEndpoint('control'), CONTROL_CONNECTIONS, nowMs, {
    connectTimeoutMs: CONTROL_CONNECT_TIMEOUT_MS,
    mayOpen: poolOptions.mayOpen,
  });
  const maxDataConnections = connectionsPerMember(group);
  const data = createConnectionPool(createEndpoint('data'), maxDataConnections, nowMs, {
    ...poolOptions,
    mayOpen: () => poolOptions.mayOpen() && isInUse(member),
  });
  const poller = createStatusPoller(member.name, control, nowMs);
  return { group, member, control, data, poller };
};

export default createMemberHandle;

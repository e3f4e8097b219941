import {
  CONTROL_CONNECTIONS,
  connectionShare,
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
  nowMs(): number;
}

/** A control connection that does not open is tried again soon: polls tell which members are up. */
const CONTROL_CONNECT_TIMEOUT_MS = 350;

/** Creates the pools of connections to one member of a group, and what polls it. */
const createMemberHandle = (
  member: Member,
  { vm, group, addresses, poolOptions, nowMs }: MemberHandleOptions,
): MemberHandle => {
  const endpointOf = (purpose: string): Endpoint =>
    createPgEndpoint({
      ...addresses.resolve(member.host, member.port),
      database: group.database,
      user: group.user,
      applicationName: `auburngrade/${vm}/${purpose}`,
      idleTimeoutMs: slotTimings.idleTimeoutMs,
    });
  const control = createConnectionPool(endpointOf('control'), CONTROL_CONNECTIONS, nowMs, {
    connectTimeoutMs: CONTROL_CONNECT_TIMEOUT_MS,
    mayOpen: poolOptions.mayOpen,
  });
  const dataConnections = connectionShare(group);
  const data = createConnectionPool(endpointOf('data'), dataConnections, nowMs, poolOptions);
  const poller = createStatusPoller(member.name, control, nowMs);
  return { group, member, control, data, poller };
};

export default createMemberHandle;

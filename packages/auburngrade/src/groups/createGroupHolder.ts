import {
  isMajorityAcknowledged,
  type ConfigurationState,
  type Group,
  type Member,
  type MemberStatus,
  type TermRecord,
} from '@auburngrade/coordination';
import { createPgEndpoint } from '@auburngrade/endpoint';
import type AddressBook from '../settings/addressBook';
import createConnectionPool from './createConnectionPool';
import createStatusPoller from './createStatusPoller';
import type PooledConnection from './pooledConnection';

/** Connections of one VM to one member that only status polls and promotions use. */
const CONTROL_CONNECTIONS = 1;
const POLL_INTERVAL_MS = 500;
const ACKNOWLEDGEMENT_POLL_DELAY_MS = 1;

const sleep = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    // A pending wait must not keep a stopped process alive.
    setTimeout(resolve, delayMs).unref();
  });

/** What a VM that holds a slot of a database group keeps: pools, member states, the term. */
const createGroupHolder = (
  name: string,
  group: Group,
  configuration: ConfigurationState,
  vm: string,
  addresses: AddressBook,
  nowMs: () => number,
) => {
  const perMember = Math.floor(group.connectionBudget / group.slots / group.members.length);
  const dataConnections = Math.max(1, perMember - CONTROL_CONNECTIONS);

  const createMemberHandle = (member: Member) => {
    const endpointOf = (purpose: string) =>
      createPgEndpoint({
        ...addresses.resolve(member.host, member.port),
        database: group.database,
        user: group.user,
        applicationName: `auburngrade/${vm}/${purpose}`,
      });
    const control = createConnectionPool(endpointOf('control'), CONTROL_CONNECTIONS, nowMs);
    const data = createConnectionPool(endpointOf('data'), dataConnections, nowMs);
    return { member, control, data, poller: createStatusPoller(member.name, control, nowMs) };
  };

  const handles = new Map(group.members.map((member) => [member.name, createMemberHandle(member)]));

  const statuses = (): MemberStatus[] =>
    [...handles.values()].flatMap(({ poller }) => poller.latest() ?? []);

  const poll = async (): Promise<void> => {
    await Promise.all([...handles.values()].map(({ poller }) => poller.poll()));
  };

  const timer = setInterval(() => poll(), POLL_INTERVAL_MS);
  poll();

  return {
    name,
    group,
    record: (): TermRecord | undefined => configuration.get('term', name),
    statuses,
    poll,
    /** @throws RefusalError when no connection can be had before the deadline. */
    acquire: (
      member: string,
      account: string | undefined,
      deadlineAtMs: number,
    ): Promise<PooledConnection> => {
      const handle = handles.get(member);
      if (!handle) throw new Error(`group ${name} has no member ${member}`);
      return handle.data.acquire(account, deadlineAtMs);
    },
    /** Resolves with whether a majority came to hold the position before the deadline. */
    waitAcknowledged: async (
      term: number,
      position: number,
      deadlineAtMs: number,
    ): Promise<boolean> => {
      const isHeld = () => isMajorityAcknowledged(statuses(), handles.size, term, position);
      while (nowMs() < deadlineAtMs) {
        // A member that does not answer must not delay what the others can confirm.
        await Promise.race([
          ...[...handles.values()].map(({ poller }) => poller.poll()),
          sleep(deadlineAtMs - nowMs()),
        ]);
        if (isHeld()) return true;
        await sleep(ACKNOWLEDGEMENT_POLL_DELAY_MS);
      }
      return isHeld();
    },
    close: (): void => {
      clearInterval(timer);
      handles.forEach(({ control, data }) => {
        control.close();
        data.close();
      });
    },
  };
};

export default createGroupHolder;

import {
  membersToPoll,
  type ConfigurationState,
  type Group,
  type Member,
  type MemberStatus,
  type MemberView,
  type TermRecord,
} from '@auburngrade/coordination';
import { createPgEndpoint } from '@auburngrade/endpoint';
import type AddressBook from '../settings/addressBook';
import acquireInTerm from './acquireInTerm';
import activeMemberNames from './activeMemberNames';
import createAcknowledger from './createAcknowledger';
import createConnectionPool from './createConnectionPool';
import createStatusPoller from './createStatusPoller';
import type PoolSettings from './poolSettings';
import poolSettingsSchema from './poolSettingsSchema';
import type PooledConnection from './pooledConnection';
import sleep from '../time/sleep';

/** Connections of one VM to one member that only status polls and promotions use. */
const CONTROL_CONNECTIONS = 1;
/** A control connection that does not open is tried again soon: polls tell which members are up. */
const CONTROL_CONNECT_TIMEOUT_MS = 350;
const POLL_CHECK_INTERVAL_MS = 100;
const PRIMARY_WAIT_STEP_MS = 5;
/** A use of the primary that takes longer makes this VM ask whether it is still there. */
const SLOW_USE_MS = 100;

/** What a VM that holds a slot of a database group keeps: pools, member states, the term. */
const createGroupHolder = (
  name: string,
  group: Group,
  configuration: ConfigurationState,
  vm: string,
  addresses: AddressBook,
  nowMs: () => number,
  poolSettings: PoolSettings = poolSettingsSchema.parse({}),
) => {
  const poolOptions = {
    ...poolSettings,
    weightOf: (account: string): number => configuration.get('account', account)?.weight ?? 1,
  };
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
    const control = createConnectionPool(endpointOf('control'), CONTROL_CONNECTIONS, nowMs, {
      connectTimeoutMs: CONTROL_CONNECT_TIMEOUT_MS,
    });
    const data = createConnectionPool(endpointOf('data'), dataConnections, nowMs, poolOptions);
    return { member, control, data, poller: createStatusPoller(member.name, control, nowMs) };
  };

  const handles = new Map(group.members.map((member) => [member.name, createMemberHandle(member)]));
  const pollers = new Map([...handles].map(([member, { poller }]) => [member, poller]));
  const record = (): TermRecord | undefined => configuration.get('term', name);
  const voters = (): readonly string[] => record()?.voters ?? [...handles.keys()];
  const acknowledger = createAcknowledger(pollers, voters, nowMs);

  const onTermOver = (term: number, listener: () => void): (() => void) => {
    const stop = configuration.onChange(() => {
      if ((record()?.term ?? term) <= term) return;
      stop();
      listener();
    });
    return stop;
  };

  let usedAtMs = nowMs();
  /** A group that serves requests is polled more often. */
  const noteUse = (): void => {
    usedAtMs = nowMs();
  };

  /** Waits for the record of a term that has a primary. */
  const awaitPrimary = async (deadlineAtMs: number): Promise<TermRecord | undefined> => {
    noteUse();
    while (record()?.state !== 'active' && nowMs() < deadlineAtMs) {
      await sleep(PRIMARY_WAIT_STEP_MS);
    }
    return record()?.state === 'active' ? record() : undefined;
  };

  const handleOf = (member: string) => {
    const handle = handles.get(member);
    if (!handle) throw new Error(`group ${name} has no member ${member}`);
    return handle;
  };

  const statuses = (): MemberStatus[] =>
    [...handles.values()].flatMap(({ poller }) => poller.latest() ?? []);

  const poll = async (): Promise<void> => {
    await Promise.all([...pollers.values()].map((poller) => poller.poll()));
  };

  const views = (): MemberView[] =>
    [...pollers].map(([member, poller]) => ({
      member,
      status: poller.latest(),
      unansweredSinceMs: poller.unansweredSinceMs(),
    }));

  const activeMembers = activeMemberNames(group);
  const pollDue = (): void =>
    membersToPoll({
      record: record(),
      activeMembers,
      views: views(),
      usedAtMs,
      nowMs: nowMs(),
    }).forEach((member) => pollers.get(member)?.poll());

  const stopListening = configuration.onChange(() => acknowledger.failBefore(record()?.term ?? 0));
  const timer = setInterval(pollDue, POLL_CHECK_INTERVAL_MS);
  poll();

  return {
    name,
    group,
    record,
    voters,
    statuses,
    poll,
    awaitPrimary,
    /** Calls the listener once when a later term is known; returns the function that stops it. */
    onTermOver,
    /** What the polls of this VM tell of each member. */
    views,
    pollMember: async (member: string): Promise<MemberStatus | undefined> => {
      const { poller } = handleOf(member);
      await poller.poll();
      return poller.unansweredSinceMs() === undefined ? poller.latest() : undefined;
    },
    /** Takes in a status that came with the answer to another statement. */
    noteStatus: (status: MemberStatus): void => pollers.get(status.member)?.note(status),
    /** Whether the member's data connections have been given back by some request since then. */
    isServingSince: (member: string, sinceMs: number): boolean =>
      handleOf(member).data.returnedAtMs() >= sinceMs,
    /** A connection to a member for control statements. @throws RefusalError */
    acquireControl: (member: string, deadlineAtMs: number): Promise<PooledConnection> =>
      handleOf(member).control.acquire(undefined, deadlineAtMs),
    /** @throws RefusalError when no connection can be had before the deadline. */
    acquire: (
      member: string,
      account: string | undefined,
      deadlineAtMs: number,
    ): Promise<PooledConnection> => {
      noteUse();
      return handleOf(member).data.acquire(account, deadlineAtMs);
    },
    /**
     * A connection to the primary of a term; it is closed when a later term is known.
     * @throws RefusalError when none can be had before the deadline or the end of the term.
     */
    acquirePrimary: (
      { term, primary }: { term: number; primary: string },
      account: string | undefined,
      deadlineAtMs: number,
    ): Promise<PooledConnection> => {
      noteUse();
      const { data, poller } = handleOf(primary);
      return acquireInTerm({
        acquire: () => data.acquire(account, deadlineAtMs),
        onTermOver: (listener) => onTermOver(term, listener),
        slowAfterMs: SLOW_USE_MS,
        onTrouble: poller.poll,
      });
    },
    /**
     * Resolves with whether a majority came to hold the position before the deadline;
     * only polls that began after `committedAtMs` count.
     */
    waitAcknowledged: (
      term: number,
      position: number,
      deadlineAtMs: number,
      committedAtMs = nowMs(),
    ): Promise<boolean> => acknowledger.wait(term, position, committedAtMs, deadlineAtMs),
    close: (): void => {
      clearInterval(timer);
      stopListening();
      acknowledger.close();
      handles.forEach(({ control, data }) => {
        control.close();
        data.close();
      });
    },
  };
};

export default createGroupHolder;

import {
  membersToPoll,
  type ConfigurationState,
  type Group,
  type Member,
  type MemberStatus,
  type MemberView,
  type TermRecord,
} from '@auburngrade/coordination';
import type AddressBook from '../settings/addressBook';
import acquireInTerm from './acquireInTerm';
import activeMemberNames from './activeMemberNames';
import createAcknowledger from './createAcknowledger';
import createMemberHandle from './createMemberHandle';
import isHandleSuitable from './isHandleSuitable';
import type MemberHandle from './memberHandle';
import type PoolSettings from './poolSettings';
import poolSettingsSchema from './poolSettingsSchema';
import type PooledConnection from './pooledConnection';
import sleep from '../time/sleep';

const POLL_CHECK_INTERVAL_MS = 100;
const RETIRE_STEP_MS = 10;
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
  mayOpen: () => boolean = () => true,
  /** Gives what the holder by the group's former document has of a member. */
  takeOver: (member: Member) => MemberHandle | undefined = () => undefined,
) => {
  const poolOptions = {
    ...poolSettings,
    mayOpen,
    weightOf: (account: string): number => configuration.get('account', account)?.weight ?? 1,
  };
  const handleOptions = { vm, group, addresses, poolOptions, nowMs };

  const handles = new Map(
    group.members.map((member) => [
      member.name,
      takeOver(member) ?? createMemberHandle(member, handleOptions),
    ]),
  );
  /** Members whose connections another holder has taken over. */
  const takenOver = new Set<string>();
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

  /** Ends the work on members that are leaving; a leaving primary goes on until it is replaced. */
  const drainLeaving = (): void =>
    group.members.forEach((member) => {
      if (member.state !== 'leaving' || member.name === record()?.primary) return;
      handleOf(member.name).data.close();
    });

  const stopListening = configuration.onChange(() => {
    acknowledger.failBefore(record()?.term ?? 0);
    drainLeaving();
  });
  const timer = setInterval(pollDue, POLL_CHECK_INTERVAL_MS);
  poll();

  drainLeaving();

  const ownHandles = (): MemberHandle[] =>
    [...handles].flatMap(([member, handle]) => (takenOver.has(member) ? [] : [handle]));

  const stopPolling = (): void => clearInterval(timer);

  const close = (cutAfterMs?: number): void => {
    stopPolling();
    stopListening();
    acknowledger.close();
    ownHandles().forEach(({ control, data }) => {
      control.close(cutAfterMs);
      data.close(cutAfterMs);
    });
  };

  return {
    name,
    group,
    record,
    voters,
    statuses,
    poll,
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
      profile = '',
    ): Promise<PooledConnection> => {
      noteUse();
      return handleOf(member).data.acquire(
        account,
        deadlineAtMs,
        configuration.get('profile', profile)?.endpoints.drainTimeoutMs,
      );
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
    /** Hands what this holder has of a member to the one by the group's next document. */
    handOver: (member: Member, next: Group): MemberHandle | undefined => {
      const handle = handles.get(member.name);
      if (!handle || !isHandleSuitable(handle, member, next)) return undefined;
      takenOver.add(member.name);
      return handle;
    },
    /**
     * Takes no more statements and resolves once what runs, and waits for its acknowledgement,
     * has ended or `cutAfterMs` has passed, and all connections are closed.
     */
    retire: async (cutAfterMs: number): Promise<void> => {
      const endAtMs = nowMs() + cutAfterMs;
      const all = ownHandles();
      if (takenOver.size > 0) stopPolling();
      all.forEach(({ data }) => data.close(cutAfterMs));
      const isRunning = (): boolean =>
        acknowledger.isWaitedFor() || all.some(({ data }) => data.openCount() > 0);
      while (isRunning() && nowMs() < endAtMs) await sleep(RETIRE_STEP_MS);
      close(0);
      while (all.some(({ control, data }) => control.openCount() + data.openCount() > 0)) {
        await sleep(RETIRE_STEP_MS);
      }
    },
    /** Connections in use are closed when given back, or when `cutAfterMs` has passed. */
    close,
  };
};

export default createGroupHolder;

import {
  listMembersToPoll,
  type ConfigurationState,
  type EvacuationPhase,
  type Group,
  type Member,
  type MemberStatus,
  type MemberView,
  type TermRecord,
} from '@auburngrade/coordination';
import type AddressBook from '../settings/addressBook';
import acquireWithinTerm from './acquireWithinTerm';
import activeMemberNames from './activeMemberNames';
import createAcknowledgementWaiter from './createAcknowledgementWaiter';
import createMemberHandle from './createMemberHandle';
import isHandleReusable from './isHandleReusable';
import type MemberHandle from './memberHandle';
import type PoolSettings from './poolSettings';
import poolSettingsSchema from './poolSettingsSchema';
import type PooledConnection from './pooledConnection';
import sleep from '../time/sleep';

const POLL_CHECK_INTERVAL_MS = 100;
const DRAIN_CHECK_INTERVAL_MS = 10;
/** A request that waits for or uses a primary connection for longer triggers a status poll. */
const SLOW_PRIMARY_USE_MS = 100;

/** Client of one database group: connection pools, member status polls and the term record. */
const createGroupClient = (
  name: string,
  group: Group,
  configuration: ConfigurationState,
  vm: string,
  addresses: AddressBook,
  nowMs: () => number,
  poolSettings: PoolSettings = poolSettingsSchema.parse({}),
  mayOpen: () => boolean = () => true,
  /** Takes over a member's handle from the client of the group's previous document. */
  takeOverHandle: (member: Member) => MemberHandle | undefined = () => undefined,
  phaseOf: (dataCentre: string) => EvacuationPhase = () => 'inService',
) => {
  const poolOptions = {
    ...poolSettings,
    mayOpen,
    weightOf: (account: string): number => configuration.get('account', account)?.weight ?? 1,
  };
  const record = (): TermRecord | undefined => configuration.get('term', name);
  /** A primary in an evacuated data centre is used until it is replaced or the drain time is over. */
  const isInUse = (member: Member): boolean => {
    const phase = phaseOf(member.dataCentre);
    return phase === 'inService' || (phase === 'evacuating' && member.name === record()?.primary);
  };
  const handleOptions = { vm, group, addresses, poolOptions, isInUse, nowMs };

  const handles = new Map(
    group.members.map((member) => [
      member.name,
      takeOverHandle(member) ?? createMemberHandle(member, handleOptions),
    ]),
  );
  /** Members whose handles now belong to the client of the group's next document. */
  const handedOverMembers = new Set<string>();
  const pollers = new Map([...handles].map(([member, { poller }]) => [member, poller]));
  const voters = (): readonly string[] => record()?.voters ?? [...handles.keys()];
  const acknowledger = createAcknowledgementWaiter(pollers, voters, nowMs);

  const onTermSuperseded = (term: number, listener: () => void): (() => void) => {
    const unsubscribeTerm = configuration.onChange(() => {
      if ((record()?.term ?? term) <= term) return;
      unsubscribeTerm();
      listener();
    });
    return unsubscribeTerm;
  };

  let usedAtMs = nowMs();
  /** Records use of the group: a group in use is polled more often. */
  const markUsed = (): void => {
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
  const pollDueMembers = (): void =>
    listMembersToPoll({
      record: record(),
      activeMembers,
      views: views(),
      lastRequestAtMs: usedAtMs,
      nowMs: nowMs(),
    }).forEach((member) => pollers.get(member)?.poll());

  /** Closes the data pools of leaving members; a leaving primary keeps its pool until replaced. */
  const drainLeavingMembers = (): void =>
    group.members.forEach((member) => {
      if (member.state !== 'leaving' || member.name === record()?.primary) return;
      handleOf(member.name).data.close();
    });

  /** Closes data connections to evacuated data centres: idle ones, and all once the drain time is over. */
  const closeEvacuated = (): void =>
    handles.forEach(({ member, data }) => {
      if (!isInUse(member)) data.withdraw(phaseOf(member.dataCentre) === 'evacuated');
    });

  const unsubscribe = configuration.onChange(() => {
    acknowledger.failBeforeTerm(record()?.term ?? 0);
    drainLeavingMembers();
    closeEvacuated();
  });
  const pollTimer = setInterval(pollDueMembers, POLL_CHECK_INTERVAL_MS);
  poll();

  drainLeavingMembers();

  const listOwnedHandles = (): MemberHandle[] =>
    [...handles].flatMap(([member, handle]) => (handedOverMembers.has(member) ? [] : [handle]));

  const stopPolling = (): void => clearInterval(pollTimer);

  const close = (forceCloseAfterMs?: number): void => {
    stopPolling();
    unsubscribe();
    acknowledger.close();
    listOwnedHandles().forEach(({ control, data }) => {
      control.close(forceCloseAfterMs);
      data.close(forceCloseAfterMs);
    });
  };

  return {
    name,
    group,
    record,
    voters,
    statuses,
    poll,
    /** Calls the listener once when a later term is known; returns the function to unsubscribe. */
    onTermSuperseded,
    /** Latest status of each member, as polled by this VM. */
    views,
    pollMember: async (member: string): Promise<MemberStatus | undefined> => {
      const { poller } = handleOf(member);
      await poller.poll();
      return poller.unansweredSinceMs() === undefined ? poller.latest() : undefined;
    },
    /** Records a status that was returned along with another statement. */
    recordStatus: (status: MemberStatus): void => pollers.get(status.member)?.note(status),
    /** Whether a request has released a data connection of the member since a monotonic time. */
    hasReleasedSince: (member: string, sinceMs: number): boolean =>
      handleOf(member).data.lastReleasedAtMs() >= sinceMs,
    /** Acquires a connection to a member for control statements. @throws RefusalError */
    acquireControl: (member: string, deadlineAtMs: number): Promise<PooledConnection> =>
      handleOf(member).control.acquire(undefined, deadlineAtMs),
    /** @throws RefusalError when no connection is available before the deadline. */
    acquire: (
      member: string,
      account: string | undefined,
      deadlineAtMs: number,
      profile = '',
    ): Promise<PooledConnection> => {
      markUsed();
      return handleOf(member).data.acquire(
        account,
        deadlineAtMs,
        configuration.get('profile', profile)?.endpoints.drainTimeoutMs,
      );
    },
    /**
     * Acquires a connection to the primary of a term; it is closed when a later term is known.
     * @throws RefusalError when none is available before the deadline or the end of the term.
     */
    acquirePrimary: (
      { term, primary }: { term: number; primary: string },
      account: string | undefined,
      deadlineAtMs: number,
    ): Promise<PooledConnection> => {
      markUsed();
      const { data, poller } = handleOf(primary);
      return acquireWithinTerm({
        acquire: () => data.acquire(account, deadlineAtMs),
        onTermSuperseded: (listener) => onTermSuperseded(term, listener),
        slowAfterMs: SLOW_PRIMARY_USE_MS,
        onSlowOrFailed: poller.poll,
      });
    },
    /**
     * Resolves to whether a majority of the voters holds the position before the deadline;
     * only polls that began after `committedAtMs` count.
     */
    waitForAcknowledgement: (
      term: number,
      position: number,
      deadlineAtMs: number,
      committedAtMs = nowMs(),
    ): Promise<boolean> => acknowledger.wait(term, position, committedAtMs, deadlineAtMs),
    /** Hands a member's handle to the client of the group's next document, if reusable. */
    handOverMember: (member: Member, nextGroup: Group): MemberHandle | undefined => {
      const handle = handles.get(member.name);
      if (!handle || !isHandleReusable(handle, member, nextGroup)) return undefined;
      handedOverMembers.add(member.name);
      return handle;
    },
    /**
     * Refuses new statements; resolves once all connections are closed. Running statements and
     * waits for acknowledgements may finish within `forceCloseAfterMs`.
     */
    drain: async (forceCloseAfterMs: number): Promise<void> => {
      const deadlineAtMs = nowMs() + forceCloseAfterMs;
      const ownedHandles = listOwnedHandles();
      if (handedOverMembers.size > 0) stopPolling();
      ownedHandles.forEach(({ data }) => data.close(forceCloseAfterMs));
      const isDraining = (): boolean =>
        acknowledger.hasWaiters() || ownedHandles.some(({ data }) => data.openCount() > 0);
      while (isDraining() && nowMs() < deadlineAtMs) await sleep(DRAIN_CHECK_INTERVAL_MS);
      close(0);
      while (ownedHandles.some(({ control, data }) => control.openCount() + data.openCount() > 0)) {
        await sleep(DRAIN_CHECK_INTERVAL_MS);
      }
    },
    closeEvacuated,
    /** Closes idle connections now, and those in use on release or after `forceCloseAfterMs`. */
    close,
  };
};

export default createGroupClient;

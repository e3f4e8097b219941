import type createSession from '../front/createSession';
import type createGroupServer from '../group/createGroupServer';
import type EventLog from '../seams/eventLog';
import sleep from '../time/sleep';
import waitForNextTurn from '../time/waitForNextTurn';

/** The load balancer removes a VM after two failed readiness checks, 1 s apart. */
const BALANCER_REMOVAL_MS = 2_200;
const POLL_INTERVAL_MS = 50;
/** A group without a successor, or handed over in vain, is offered again after one heartbeat. */
const HAND_OVER_INTERVAL_MS = 250;
/** Time for the store to end the lease, for the last messages to other VMs, and for callers to disconnect. */
const CLOSING_WAIT_MS = 400;
const CLOSING_POLL_INTERVAL_MS = 10;
/** Fractions of the grace period: when no new work is accepted any more, and when the process stops waiting. */
const NEW_WORK_GRACE_RATIO = 0.5;
const DRAIN_GRACE_RATIO = 0.85;
/** A signal is told to have come this much before it was sent, at most, unless the process stood still. */
const MAX_SIGNAL_TIME_MARGIN_MS = 250;
/** Left of the grace period for the last answers, also where it is short. */
const MIN_CLOSING_MS = 900;
/** Statements that wait for an owner look this often whether they may still be sent. */
const ANSWER_WAIT_MS = 40;
const REASON = 'this VM is shutting down';

type Session = Pick<
  ReturnType<typeof createSession>,
  'closeIfIdle' | 'closeBetweenStatements' | 'stop' | 'abort'
>;
type GroupServer = Pick<
  ReturnType<typeof createGroupServer>,
  'countOpenTransactions' | 'countInFlight' | 'close'
>;

interface ShutdownOptions {
  /** From the signal to stop, as it was sent, until the process is killed. */
  graceMs: number;
  log: EventLog;
  nowMs(): number;
  sessions: ReadonlySet<Session>;
  /** Servers of this VM's groups, with those that only finish their transactions after a handover. */
  groupServers(): readonly GroupServer[];
  /** Groups that this VM owns; a VM that has not heard of the shutdown may hand it one more. */
  ownedGroups(): readonly string[];
  handOver(group: string): Promise<void>;
  /** Leaves the fleet for good, and ends the lease of the registration. */
  leaveFleet(): Promise<void>;
  /** Tells other VMs that their further calls are not run, and closes the streams that they opened. */
  closeLinkServer(): Promise<void>;
}

/**
 * Ends the work of a VM. While the load balancer may still send callers here, sessions are served as before; then
 * idle ones are closed, and from the middle of the grace period all that wait for no answer. What is under way
 * is answered until shortly before the end of the grace period. Nothing is accepted from then on.
 */
const createShutdown = (options: ShutdownOptions) => {
  const { graceMs, log, nowMs, sessions, groupServers } = options;
  const drainLimitMs = Math.min(graceMs * DRAIN_GRACE_RATIO, graceMs - MIN_CLOSING_MS);
  let isAcceptingSessions = true;
  let isDrained = false;
  const groupsBeingHandedOver = new Set<string>();
  const nextHandOverAtMs = new Map<string, number>();

  const isBusy = (): boolean =>
    sessions.size > 0 ||
    groupServers().some((server) => server.countOpenTransactions() + server.countInFlight() > 0);

  const handOverOwnedGroups = (atMs: number): void =>
    options
      .ownedGroups()
      .filter((group) => !groupsBeingHandedOver.has(group))
      .filter((group) => atMs >= (nextHandOverAtMs.get(group) ?? 0))
      .forEach((group) => {
        groupsBeingHandedOver.add(group);
        nextHandOverAtMs.set(group, atMs + HAND_OVER_INTERVAL_MS);
        options
          .handOver(group)
          .catch((error) => log.warn('group.handOverFailed', { group, reason: String(error) }))
          .finally(() => groupsBeingHandedOver.delete(group));
      });

  /** Waits until nothing is under way, or the grace period is nearly over. */
  const drain = async (sinceSignalMs: () => number): Promise<void> => {
    const unreadySinceMs = nowMs();
    // Open transactions have half of the grace period, so that a margin is not at their expense.
    const newWorkLimitMs =
      graceMs * NEW_WORK_GRACE_RATIO + Math.min(sinceSignalMs(), MAX_SIGNAL_TIME_MARGIN_MS);
    const isRemovedFromBalancer = (): boolean => nowMs() - unreadySinceMs > BALANCER_REMOVAL_MS;
    const isWorkExpected = (): boolean =>
      !isRemovedFromBalancer() || options.ownedGroups().length > 0 || isBusy();
    while (isWorkExpected() && sinceSignalMs() < drainLimitMs) {
      handOverOwnedGroups(sinceSignalMs());
      await sleep(POLL_INTERVAL_MS);
      if (sinceSignalMs() > newWorkLimitMs) {
        isAcceptingSessions = false;
        sessions.forEach((session) => session.closeBetweenStatements(REASON));
      } else if (isRemovedFromBalancer()) {
        sessions.forEach((session) => session.closeIfIdle(REASON));
      }
    }
    isAcceptingSessions = false;
    isDrained = true;
  };

  /** Answers what is still under way here and at other VMs, before the streams and the process end. */
  const answerAll = async (): Promise<void> => {
    groupServers().forEach((server) => server.close());
    await sleep(ANSWER_WAIT_MS);
    sessions.forEach((session) => session.stop(REASON));
  };

  const waitForCallers = async (): Promise<void> => {
    while (sessions.size > 0) await sleep(CLOSING_POLL_INTERVAL_MS);
  };

  return {
    /** False from some time before the process ends: a session that began then would be lost. */
    isAcceptingSessions: (): boolean => isAcceptingSessions,
    /** Whether the wait for work is over, so that a statement that did not run yet is refused. */
    isDrained: (): boolean => isDrained,
    /** Takes the time of the signal: the process may have handled it late, but its grace period runs since. */
    run: async (signalledAtMs: number): Promise<void> => {
      const sinceSignalMs = (): number => Math.round(nowMs() - signalledAtMs);
      await drain(sinceSignalMs);
      log.info('daemon.drained', {
        tookMs: sinceSignalMs(),
        isBusy: isBusy(),
        sessions: sessions.size,
      });
      await answerAll();
      // The lease ends by itself where the store does not answer before the grace period is over.
      await Promise.race([
        Promise.all([options.leaveFleet(), options.closeLinkServer(), waitForCallers()]),
        sleep(CLOSING_WAIT_MS),
      ]);
      // Input that came in time, but that a late timer would overtake, is read first.
      await waitForNextTurn();
      sessions.forEach((session) => session.abort());
      log.info('daemon.stopped', { tookMs: sinceSignalMs() });
    },
  };
};

export default createShutdown;

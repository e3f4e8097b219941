import type { MemberStatus } from '@auburngrade/coordination';
import { readMemberStatus } from '@auburngrade/endpoint';
import type ConnectionPool from './connectionPool';

/** Below the default `suspectAfterMs`, to replace a stuck connection before it causes suspicion. */
const POLL_TIMEOUT_MS = 350;
const FIRST_RETRY_DELAY_MS = 50;
/** Back-off limit: each attempt may leave a connection open at a member behind a dead link. */
const MAX_RETRY_DELAY_MS = 2_000;

/** Polls one member's status; calls during a running poll share the one queued after it. */
const createStatusPoller = (member: string, pool: ConnectionPool, nowMs: () => number) => {
  let latest: MemberStatus | undefined;
  let runningPoll: Promise<void> | undefined;
  let queuedPoll: Promise<void> | undefined;
  let unansweredSinceMs: number | undefined;
  let failureCount = 0;
  let nextAttemptAtMs = 0;

  const note = (status: MemberStatus): void => {
    if (latest && latest.askedAtMs > status.askedAtMs) return;
    latest = status;
    unansweredSinceMs = undefined;
    failureCount = 0;
  };

  const scheduleRetry = (): void => {
    nextAttemptAtMs =
      nowMs() + Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** failureCount);
    failureCount += 1;
  };

  const pollOnce = async (): Promise<void> => {
    if (failureCount > 0 && nowMs() < nextAttemptAtMs) return;
    unansweredSinceMs ??= nowMs();
    const { connection, release } = await pool.acquire(undefined, nowMs() + POLL_TIMEOUT_MS);
    try {
      note(await readMemberStatus(connection, member, POLL_TIMEOUT_MS, nowMs));
    } finally {
      release();
    }
  };

  const startPoll = (): Promise<void> => {
    runningPoll = pollOnce()
      .catch(scheduleRetry)
      .finally(() => {
        runningPoll = undefined;
      });
    return runningPoll;
  };

  return {
    latest: () => latest,
    /** Monotonic start of the first poll without an answer since; undefined if none. */
    unansweredSinceMs: () => unansweredSinceMs,
    /** Records a status that was returned along with another statement, unless it is older. */
    note,
    /** Resolves after a poll begun after this call, also if it failed or was skipped by back-off. */
    poll: (): Promise<void> => {
      if (!runningPoll) return startPoll();
      queuedPoll ??= runningPoll.then(() => {
        queuedPoll = undefined;
        return startPoll();
      });
      return queuedPoll;
    },
  };
};

export default createStatusPoller;

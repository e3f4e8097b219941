import type { MemberStatus } from '@auburngrade/coordination';
import { readMemberStatus } from '@auburngrade/endpoint';
import type ConnectionPool from './connectionPool';

/** Shorter than a suspicion takes, so that a stuck connection is replaced before it raises one. */
const POLL_TIMEOUT_MS = 350;
const FIRST_RETRY_DELAY_MS = 50;
/** Each try may leave a connection open at a member whose link has gone silent. */
const MAX_RETRY_DELAY_MS = 2_000;

/** Polls one member's status; callers that ask while a poll is queued share the next one. */
const createStatusPoller = (member: string, pool: ConnectionPool, nowMs: () => number) => {
  let latest: MemberStatus | undefined;
  let running: Promise<void> | undefined;
  let next: Promise<void> | undefined;
  let unansweredSinceMs: number | undefined;
  let failureCount = 0;
  let nextPollAtMs = 0;

  const note = (status: MemberStatus): void => {
    if (latest && latest.askedAtMs > status.askedAtMs) return;
    latest = status;
    unansweredSinceMs = undefined;
    failureCount = 0;
  };

  const noteFailure = (): void => {
    nextPollAtMs = nowMs() + Math.min(MAX_RETRY_DELAY_MS, FIRST_RETRY_DELAY_MS * 2 ** failureCount);
    failureCount += 1;
  };

  const pollOnce = async (): Promise<void> => {
    if (failureCount > 0 && nowMs() < nextPollAtMs) return;
    unansweredSinceMs ??= nowMs();
    const { connection, release } = await pool.acquire(undefined, nowMs() + POLL_TIMEOUT_MS);
    try {
      note(await readMemberStatus(connection, member, POLL_TIMEOUT_MS, nowMs));
    } finally {
      release();
    }
  };

  const start = (): Promise<void> => {
    running = pollOnce()
      .catch(noteFailure)
      .finally(() => {
        running = undefined;
      });
    return running;
  };

  return {
    latest: () => latest,
    /** When the first poll began that has had no answer since the last one. */
    unansweredSinceMs: () => unansweredSinceMs,
    /** Takes in a status that came with the answer to another statement. */
    note,
    /** Resolves after a poll that began after this call, also when the poll failed. */
    poll: (): Promise<void> => {
      if (!running) return start();
      next ??= running.then(() => {
        next = undefined;
        return start();
      });
      return next;
    },
  };
};

export default createStatusPoller;

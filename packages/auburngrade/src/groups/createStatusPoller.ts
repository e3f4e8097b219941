import type { MemberStatus } from '@auburngrade/coordination';
import { readMemberStatus } from '@auburngrade/endpoint';
import type ConnectionPool from './connectionPool';

const POLL_TIMEOUT_MS = 1_000;

/** Polls one member's status; callers that ask while a poll is queued share the next one. */
const createStatusPoller = (member: string, pool: ConnectionPool, nowMs: () => number) => {
  let latest: MemberStatus | undefined;
  let running: Promise<void> | undefined;
  let next: Promise<void> | undefined;

  const pollOnce = async (): Promise<void> => {
    const { connection, release } = await pool.acquire(undefined, nowMs() + POLL_TIMEOUT_MS);
    try {
      latest = await readMemberStatus(connection, member, POLL_TIMEOUT_MS, nowMs);
    } finally {
      release();
    }
  };

  const start = (): Promise<void> => {
    running = pollOnce()
      .catch(() => {})
      .finally(() => {
        running = undefined;
      });
    return running;
  };

  return {
    latest: () => latest,
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

import type Membership from '../membership/membership';
import type SendMessage from '../membership/sendMessage';
import createRecentFailures from '../routing/createRecentFailures';
import leavingMessageSchema from './leavingMessageSchema';

interface LeavingNoticesOptions {
  vm: string;
  membership: Membership;
  send: SendMessage;
  nowMs(): number;
}

const LEAVING_KIND = 'leaving';
/** A VM that was restarted under the same name is used again after this time. */
const REMEMBER_MS = 15_000;
const NOTICE_TIMEOUT_MS = 500;
/** Bounds the cost in a large fleet; VMs beyond it learn of the shutdown from a refusal. */
const MAX_NOTICES = 64;

/** Tells other VMs of this one's shutdown, and remembers which others shut down. */
const createLeavingNotices = (options: LeavingNoticesOptions) => {
  const { vm, membership, send, nowMs } = options;
  const leaving = createRecentFailures(REMEMBER_MS, nowMs);

  return {
    kind: LEAVING_KIND,
    /** Answers another VM's notice. */
    receive: async (_fromVm: string, body: unknown): Promise<unknown> => {
      leaving.add(leavingMessageSchema.parse(body).vm);
      return {};
    },
    add: leaving.add,
    leaving: leaving.names,
    announce: async (): Promise<void> => {
      const others = membership.live().filter(({ id }) => id !== vm);
      const notified = others
        .slice(0, MAX_NOTICES)
        .map(({ id }) => send(id, LEAVING_KIND, { vm }, NOTICE_TIMEOUT_MS));
      await Promise.allSettled(notified);
    },
  };
};

export default createLeavingNotices;

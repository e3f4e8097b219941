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
/** Retention of a notice; a VM restarted under the same name is used again after it. */
const LEAVING_RETENTION_MS = 15_000;
const NOTICE_TIMEOUT_MS = 500;
/** Bounds the cost in a large fleet; the other VMs learn of the shutdown from a refusal. */
const MAX_NOTICES = 64;

/** Notifies other VMs of this one's shutdown and keeps track of the VMs that are shutting down. */
const createLeavingNotices = (options: LeavingNoticesOptions) => {
  const { vm, membership, send, nowMs } = options;
  const leavingVms = createRecentFailures(LEAVING_RETENTION_MS, nowMs);

  return {
    kind: LEAVING_KIND,
    /** Records another VM's notice; the reply is empty. */
    receive: async (_fromVm: string, body: unknown): Promise<unknown> => {
      leavingVms.add(leavingMessageSchema.parse(body).vm);
      return {};
    },
    add: leavingVms.add,
    leaving: leavingVms.names,
    announce: async (): Promise<void> => {
      const others = membership.live().filter(({ id }) => id !== vm);
      const pendingNotices = others
        .slice(0, MAX_NOTICES)
        .map(({ id }) => send(id, LEAVING_KIND, { vm }, NOTICE_TIMEOUT_MS));
      await Promise.allSettled(pendingNotices);
    },
  };
};

export default createLeavingNotices;

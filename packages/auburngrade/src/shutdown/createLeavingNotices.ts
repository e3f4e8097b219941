import type Membership from '../membership/membership';
import createRecentFailures from '../routing/createRecentFailures';
import type PeerRegistry from '../routing/peerRegistry';
import leavingMessageSchema from './leavingMessageSchema';

interface LeavingNoticesOptions {
  vm: string;
  incarnation: number;
  membership: Membership;
  peers: PeerRegistry;
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
  const { vm, incarnation, membership, peers, nowMs } = options;
  const leaving = createRecentFailures(REMEMBER_MS, nowMs);

  const notify = async (id: string): Promise<void> => {
    const bodyJson = JSON.stringify({ vm });
    const message = { fromVm: vm, incarnation, kind: LEAVING_KIND, bodyJson };
    await peers.get(id).exchange(message, NOTICE_TIMEOUT_MS);
  };

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
      const notified = others.slice(0, MAX_NOTICES).map(({ id }) => notify(id));
      await Promise.allSettled(notified);
    },
  };
};

export default createLeavingNotices;

import {
  leaseTermOf,
  leaseTermSchema,
  renewalQuorum,
  type LeaseTerm,
  type VmLease,
} from '@auburngrade/coordination';
import { z } from 'zod';
import type SendMessage from '../membership/sendMessage';

interface HeartbeatOptions {
  lease: VmLease;
  leaseMs: number;
  send: SendMessage;
  nowMs(): number;
}

const HEARTBEAT_KIND = 'lease.renew';
/** Two stages of heartbeats and another beat fit into what is left of a lease. */
const TIMEOUTS_PER_LEASE = 6;

const renewalSchema = z.strictObject({ isRenewed: z.boolean() });

/** Renews this VM's lease at no more of its witnesses than it takes. */
const createHeartbeats = ({ lease, leaseMs, send, nowMs }: HeartbeatOptions) => {
  const timeoutMs = leaseMs / TIMEOUTS_PER_LEASE;
  const failed = new Set<string>();

  const beatOne = async (witness: string): Promise<void> => {
    const sentAtMs = nowMs();
    const term = lease.record()?.term ?? 0;
    try {
      const body = leaseTermOf(term, leaseMs);
      const reply = await send(witness, HEARTBEAT_KIND, body, timeoutMs);
      const { isRenewed } = renewalSchema.parse(reply);
      if (isRenewed) {
        failed.delete(witness);
        lease.renew(witness, term, sentAtMs, nowMs());
      } else failed.add(witness);
    } catch {
      failed.add(witness);
    }
  };

  /** Those that answered last time come first. */
  const inOrder = (group: readonly string[]): string[] => [
    ...group.filter((witness) => !failed.has(witness)),
    ...group.filter((witness) => failed.has(witness)),
  ];

  /** Resolves with whether a group renewed the lease. */
  const beat = async (): Promise<boolean> => {
    const groups = lease.record()?.groups ?? [];
    const sinceMs = nowMs();
    const isRenewed = (): boolean => groups.some((group) => lease.isRenewedBy(group, sinceMs));
    const stages = groups.flatMap((group) => {
      const ordered = inOrder(group);
      const enough = renewalQuorum(group.length);
      return [ordered.slice(0, enough), ordered.slice(enough)];
    });
    if (lease.standing(nowMs()) === undefined) {
      await Promise.all(stages.flat().map(beatOne));
      return isRenewed();
    }
    for (const stage of stages) {
      if (isRenewed()) return true;
      await Promise.all(stage.map(beatOne));
    }
    return groups.length === 0 || isRenewed();
  };

  return {
    kind: HEARTBEAT_KIND,
    parse: (body: unknown): LeaseTerm => leaseTermSchema.parse(body),
    beat,
  };
};

export default createHeartbeats;

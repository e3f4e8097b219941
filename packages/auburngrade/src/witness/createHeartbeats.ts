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
const HEARTBEAT_TIMEOUT_MS = 500;

const renewalSchema = z.strictObject({ isRenewed: z.boolean() });

/** Renews this VM's lease at no more of its witnesses than it takes. */
const createHeartbeats = ({ lease, leaseMs, send, nowMs }: HeartbeatOptions) => {
  const failed = new Set<string>();

  const beatOne = async (witness: string): Promise<void> => {
    const sentAtMs = nowMs();
    const term = lease.record()?.term ?? 0;
    try {
      const body = leaseTermOf(term, leaseMs);
      const reply = await send(witness, HEARTBEAT_KIND, body, HEARTBEAT_TIMEOUT_MS);
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

  const beat = async (): Promise<void> => {
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
      return;
    }
    for (const stage of stages) {
      if (isRenewed()) return;
      await Promise.all(stage.map(beatOne));
    }
  };

  return {
    kind: HEARTBEAT_KIND,
    parse: (body: unknown): LeaseTerm => leaseTermSchema.parse(body),
    beat,
  };
};

export default createHeartbeats;

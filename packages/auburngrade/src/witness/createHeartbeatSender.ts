import {
  toLeaseTerm,
  leaseTermSchema,
  renewalQuorum,
  type LeaseTerm,
  type VmLease,
} from '@auburngrade/coordination';
import { z } from 'zod';
import type SendMessage from '../membership/sendMessage';

interface HeartbeatSenderOptions {
  lease: VmLease;
  leaseMs: number;
  send: SendMessage;
  nowMs(): number;
}

const HEARTBEAT_KIND = 'lease.renew';
/** Lets two stages of heartbeats and one more round finish before the lease expires. */
const TIMEOUTS_PER_LEASE = 6;

const renewalSchema = z.strictObject({ isRenewed: z.boolean() });

/** Creates the sender of heartbeats, which renew this VM's lease at a quorum of its witnesses. */
const createHeartbeatSender = ({ lease, leaseMs, send, nowMs }: HeartbeatSenderOptions) => {
  const timeoutMs = leaseMs / TIMEOUTS_PER_LEASE;
  const failedWitnesses = new Set<string>();

  const sendHeartbeat = async (witness: string): Promise<void> => {
    const sentAtMs = nowMs();
    const term = lease.record()?.term ?? 0;
    try {
      const body = toLeaseTerm(term, leaseMs);
      const reply = await send(witness, HEARTBEAT_KIND, body, timeoutMs);
      const { isRenewed } = renewalSchema.parse(reply);
      if (isRenewed) {
        failedWitnesses.delete(witness);
        lease.renew(witness, term, sentAtMs, nowMs());
      } else failedWitnesses.add(witness);
    } catch {
      failedWitnesses.add(witness);
    }
  };

  /** Puts the witnesses that renewed the lease last time first. */
  const orderByLastResult = (group: readonly string[]): string[] => [
    ...group.filter((witness) => !failedWitnesses.has(witness)),
    ...group.filter((witness) => failedWitnesses.has(witness)),
  ];

  /**
   * Sends heartbeats to a quorum of each witness group, then to the rest if needed, or to all at
   * once when the lease has expired. Resolves with whether a group renewed the lease.
   */
  const renewLease = async (): Promise<boolean> => {
    const groups = lease.record()?.groups ?? [];
    const sinceMs = nowMs();
    const isRenewed = (): boolean => groups.some((group) => lease.isRenewedBy(group, sinceMs));
    const stages = groups.flatMap((group) => {
      const ordered = orderByLastResult(group);
      const quorum = renewalQuorum(group.length);
      return [ordered.slice(0, quorum), ordered.slice(quorum)];
    });
    if (lease.currentGeneration(nowMs()) === undefined) {
      await Promise.all(stages.flat().map(sendHeartbeat));
      return isRenewed();
    }
    for (const stage of stages) {
      if (isRenewed()) return true;
      await Promise.all(stage.map(sendHeartbeat));
    }
    return groups.length === 0 || isRenewed();
  };

  return {
    kind: HEARTBEAT_KIND,
    parse: (body: unknown): LeaseTerm => leaseTermSchema.parse(body),
    beat: renewLease,
  };
};

export default createHeartbeatSender;

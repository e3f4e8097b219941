import {
  createVmLease,
  type ConfigurationState,
  type LeaseTerm,
  type VmLease,
  type WitnessPromise,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type MessageHandler from '../membership/messageHandler';
import createHeartbeats from './createHeartbeats';
import createLapseProofs from './createLapseProofs';
import createLeaseRecords from './createLeaseRecords';
import createLeaseSeat from './createLeaseSeat';
import type SendMessage from '../membership/sendMessage';

interface LeaseServiceOptions {
  vm: string;
  dataCentre: string;
  incarnation: number;
  leaseMs: number;
  configuration: ConfigurationState;
  platform: Platform;
  platformTimeoutMs: number;
  send: SendMessage;
  nowMs(): number;
  logger: Logger;
}

const HEARTBEATS_PER_LEASE = 3;
/** Without an answer the next heartbeats go out this much sooner, over new connections. */
const RETRIES_PER_LEASE = 15;
/** How often a VM without a lease tries to get one. */
const SEAT_INTERVAL_MS = 200;

/** A witness that doesn't know yet what it may answer. */
const NO_PROMISE: WitnessPromise = { isPromised: false, renewedAgeMs: 0 };

/** This VM's lease, renewed by other VMs, and its part as a witness of theirs. */
const createLeaseService = (options: LeaseServiceOptions) => {
  const { leaseMs, platform, platformTimeoutMs, nowMs, logger } = options;
  const lease: VmLease = createVmLease(leaseMs);
  const records = createLeaseRecords(platform, platformTimeoutMs);
  const seat = createLeaseSeat({ ...options, records, lease });
  const heartbeats = createHeartbeats({ ...options, lease });
  const promise = (vm: string, term: LeaseTerm): WitnessPromise =>
    seat.witness()?.promise(vm, term, nowMs()) ?? NO_PROMISE;
  const proofs = createLapseProofs({ ...options, records, promise });
  const intervals = new Set<NodeJS.Timeout>();
  let beatTimer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const repeat = (intervalMs: number, work: () => Promise<void>): void => {
    let isBusy = false;
    const run = (): void => {
      if (isBusy) return;
      isBusy = true;
      work()
        .catch((error: Error) => logger.debug('lease.failed', { message: error.message }))
        .finally(() => {
          isBusy = false;
        });
    };
    intervals.add(setInterval(run, intervalMs).unref());
    run();
  };

  let wasStanding = false;
  const logChange = (): void => {
    const isStanding = lease.standing(nowMs()) !== undefined;
    if (isStanding !== wasStanding) logger.info(isStanding ? 'lease.renewed' : 'lease.lapsed');
    wasStanding = isStanding;
  };

  /** Beats once an interval from the start of the beat before, and soon after one in vain. */
  const keepBeating = async (): Promise<void> => {
    const startedAtMs = nowMs();
    const isRenewed = await heartbeats.beat().catch((error: Error) => {
      logger.debug('lease.failed', { message: error.message });
      return false;
    });
    logChange();
    const spentMs = nowMs() - startedAtMs;
    const restMs = leaseMs / HEARTBEATS_PER_LEASE - spentMs;
    const delayMs = isRenewed ? Math.max(0, restMs) : leaseMs / RETRIES_PER_LEASE;
    if (!isStopped) beatTimer = setTimeout(keepBeating, delayMs).unref();
  };

  const messageHandlers: [string, MessageHandler][] = [
    [
      heartbeats.kind,
      async (fromVm, body) => {
        const term = heartbeats.parse(body);
        return { isRenewed: seat.witness()?.renew(fromVm, term, nowMs()) ?? false };
      },
    ],
    [
      proofs.kind,
      async (_fromVm, body) => {
        const { vm, ...term } = proofs.parse(body);
        return promise(vm, term);
      },
    ],
  ];

  return {
    lease,
    messageHandlers,
    prove: proofs.prove,
    proveByRecord: proofs.proveByRecord,
    /** Starts to renew the lease; `use` says what is spent under it. */
    start: (use: Parameters<typeof seat.update>[0]): void => {
      repeat(SEAT_INTERVAL_MS, async () => {
        const earlier = lease.record();
        await seat.update(use);
        if (lease.record() !== earlier) await heartbeats.beat();
      });
      keepBeating();
    },
    /** False while this VM has not had a lease yet since its start. */
    hasStood: lease.hasStood,
    stop: (): void => {
      isStopped = true;
      clearTimeout(beatTimer);
      intervals.forEach((interval) => clearInterval(interval));
    },
    describe: () => ({
      isStanding: lease.standing(nowMs()) !== undefined,
      witnesses: lease.record()?.groups ?? [],
    }),
  };
};

export default createLeaseService;

import {
  createVmLease,
  type ConfigurationState,
  type LeaseTerm,
  type VmLease,
  type WitnessPromise,
} from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type MessageHandler from '../membership/messageHandler';
import createHeartbeatSender from './createHeartbeatSender';
import createExpiryProver from './createExpiryProver';
import createLeaseRecordStore from './createLeaseRecordStore';
import createWitnessSelector from './createWitnessSelector';
import type SendMessage from '../membership/sendMessage';

interface LeaseServiceOptions {
  vm: string;
  dataCentre: string;
  incarnation: number;
  leaseMs: number;
  configuration: ConfigurationState;
  platform: ConfigurationStore;
  platformTimeoutMs: number;
  send: SendMessage;
  nowMs(): number;
  logger: Logger;
}

const HEARTBEATS_PER_LEASE = 3;
/** After a failed round, heartbeats are retried at this rate, over new connections. */
const RETRIES_PER_LEASE = 15;
/** How often the choice of witnesses is checked. */
const WITNESS_UPDATE_INTERVAL_MS = 200;

/** Answer of a VM that does not act as a witness yet. */
const NO_PROMISE: WitnessPromise = { isPromised: false, renewedAgeMs: 0 };

/** Creates the service that renews this VM's lease and acts as a witness of other VMs' leases. */
const createLeaseService = (options: LeaseServiceOptions) => {
  const { leaseMs, platform, platformTimeoutMs, nowMs, logger } = options;
  const lease: VmLease = createVmLease(leaseMs);
  const records = createLeaseRecordStore(platform, platformTimeoutMs, nowMs);
  const witnessSelector = createWitnessSelector({ ...options, records, lease });
  const heartbeatSender = createHeartbeatSender({ ...options, lease });
  const promise = (vm: string, term: LeaseTerm): WitnessPromise =>
    witnessSelector.witness()?.promise(vm, term, nowMs()) ?? NO_PROMISE;
  const expiryProver = createExpiryProver({ ...options, records, promise });
  const intervals = new Set<NodeJS.Timeout>();
  let heartbeatTimer: NodeJS.Timeout | undefined;
  let isStopped = false;

  const repeatEvery = (intervalMs: number, work: () => Promise<void>): void => {
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

  let wasValid = false;
  const logLeaseChange = (): void => {
    const isValid = lease.currentGeneration(nowMs()) !== undefined;
    if (isValid !== wasValid) logger.info(isValid ? 'lease.renewed' : 'lease.lapsed');
    wasValid = isValid;
  };

  /** Sends heartbeats at a fixed interval from start to start, and sooner after a failed round. */
  const sendHeartbeats = async (): Promise<void> => {
    const startedAtMs = nowMs();
    const isRenewed = await heartbeatSender.beat().catch((error: Error) => {
      logger.debug('lease.failed', { message: error.message });
      return false;
    });
    logLeaseChange();
    const elapsedMs = nowMs() - startedAtMs;
    const remainingMs = leaseMs / HEARTBEATS_PER_LEASE - elapsedMs;
    const delayMs = isRenewed ? Math.max(0, remainingMs) : leaseMs / RETRIES_PER_LEASE;
    if (!isStopped) heartbeatTimer = setTimeout(sendHeartbeats, delayMs).unref();
  };

  const messageHandlers: [string, MessageHandler][] = [
    [
      heartbeatSender.kind,
      async (fromVm, body) => {
        const term = heartbeatSender.parse(body);
        return { isRenewed: witnessSelector.witness()?.renew(fromVm, term, nowMs()) ?? false };
      },
    ],
    [
      expiryProver.kind,
      async (_fromVm, body) => {
        const { vm, ...term } = expiryProver.parse(body);
        return promise(vm, term);
      },
    ],
  ];

  return {
    lease,
    messageHandlers,
    prove: expiryProver.prove,
    proveByRecord: expiryProver.proveByRecord,
    /** Starts to renew the lease; `resources` are the units and roles held under it. */
    start: (resources: Parameters<typeof witnessSelector.update>[0]): void => {
      repeatEvery(WITNESS_UPDATE_INTERVAL_MS, async () => {
        const earlierRecord = lease.record();
        await witnessSelector.update(resources);
        if (lease.record() !== earlierRecord) await heartbeatSender.beat();
      });
      sendHeartbeats();
    },
    /** Whether this VM's lease has been valid at any time since its start. */
    hasBeenValid: lease.hasBeenValid,
    stop: (): void => {
      isStopped = true;
      clearTimeout(heartbeatTimer);
      intervals.forEach((interval) => clearInterval(interval));
    },
    describe: () => ({
      isStanding: lease.currentGeneration(nowMs()) !== undefined,
      witnesses: lease.record()?.groups ?? [],
    }),
  };
};

export default createLeaseService;

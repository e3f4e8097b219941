import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import storeKeys from './storeKeys';
import type VmRegistration from './vmRegistration';

/** Renewals due within one lease; the registration lapses when this many fail in a row. */
const RENEWALS_PER_LEASE = 3;
/** Not shorter: failed store calls are charged too, and heartbeats reach the other VMs without it. */
const RENEWAL_RETRY_DELAY_MS = 700;

/** Registers this VM in the metadata store under a lease and renews the lease until closed. */
const createRegistration = (
  store: MetadataStore,
  vm: string,
  registration: VmRegistration,
  ttlMs: number,
  log: EventLog,
) => {
  let lease: number | undefined;
  let isClosed = false;
  let isStoreAnswering = true;
  let timer: NodeJS.Timeout | undefined;

  const register = async (): Promise<void> => {
    const granted = await store.grantLease(ttlMs);
    const key = storeKeys.vmPrefix + vm;
    const existing = await store.get(key);
    const outcome = await store.commit({
      expected: [{ key, revision: existing?.revision ?? 0 }],
      puts: [{ key, value: JSON.stringify(registration), lease: granted.lease }],
    });
    if (outcome.kind !== 'committed')
      throw new Error(`registration in the metadata store was not committed: ${outcome.kind}`);
    lease = granted.lease;
    log.info('vm.registered', { lease, ttlMs: granted.ttlMs });
  };

  const renewOrRegister = async (): Promise<void> => {
    if (lease === undefined) {
      await register();
    } else if (!(await store.renewLease(lease))) {
      log.warn('vm.leaseEnded', { lease });
      lease = undefined;
      await register();
    }
  };

  const runRenewalCycle = (): void => {
    renewOrRegister()
      .then(
        () => {
          isStoreAnswering = true;
          return ttlMs / RENEWALS_PER_LEASE;
        },
        (error) => {
          isStoreAnswering = false;
          log.info('vm.renewalFailed', { lease, reason: String(error) });
          return RENEWAL_RETRY_DELAY_MS;
        },
      )
      .then((delayMs) => {
        if (!isClosed) timer = setTimeout(runRenewalCycle, delayMs);
      });
  };
  runRenewalCycle();

  return {
    /** Whether the store answered the last call; detects an outage sooner than a long-running watch. */
    isStoreAnswering: () => isStoreAnswering,
    /** Stops renewing and revokes the lease, so that other VMs need not wait for its expiry. */
    close: async (): Promise<void> => {
      isClosed = true;
      clearTimeout(timer);
      if (lease !== undefined) await store.revokeLease(lease);
    },
  };
};

export default createRegistration;

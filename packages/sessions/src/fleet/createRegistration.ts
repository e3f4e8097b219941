import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import storeKeys from './storeKeys';
import type VmRegistration from './vmRegistration';

/** Renewals that may fail in a row before the registration lapses. */
const RENEWALS_PER_LEASE = 3;
/** Calls in vain are priced as well, and other VMs hear this one without the registration. */
const RETRY_MS = 700;

/** Keeps this VM registered in the platform's store under a lease. */
const createRegistration = (
  store: MetadataStore,
  vm: string,
  registration: VmRegistration,
  ttlMs: number,
  log: EventLog,
) => {
  let lease: number | undefined;
  let isClosed = false;
  let isAnswered = true;
  let timer: NodeJS.Timeout | undefined;

  const register = async (): Promise<void> => {
    const granted = await store.grantLease(ttlMs);
    const key = storeKeys.vmPrefix + vm;
    const item = await store.get(key);
    const outcome = await store.commit({
      expected: [{ key, revision: item?.revision ?? 0 }],
      puts: [{ key, value: JSON.stringify(registration), lease: granted.lease }],
    });
    if (outcome.kind !== 'committed') throw new Error(`the registration met a ${outcome.kind}`);
    lease = granted.lease;
    log.info('vm.registered', { lease, ttlMs: granted.ttlMs });
  };

  const step = async (): Promise<void> => {
    if (lease === undefined) {
      await register();
    } else if (!(await store.keepLease(lease))) {
      log.warn('vm.leaseEnded', { lease });
      lease = undefined;
      await register();
    }
  };

  const run = (): void => {
    step()
      .then(
        () => {
          isAnswered = true;
          return ttlMs / RENEWALS_PER_LEASE;
        },
        (error) => {
          isAnswered = false;
          log.info('vm.renewalFailed', { lease, reason: String(error) });
          return RETRY_MS;
        },
      )
      .then((pauseMs) => {
        if (!isClosed) timer = setTimeout(run, pauseMs);
      });
  };
  run();

  return {
    /** Whether the store answered the last call: sooner known here than by a watch that waits. */
    isAnswered: () => isAnswered,
    /** Ends the registration, so that other VMs need not wait for its lease. */
    close: async (): Promise<void> => {
      isClosed = true;
      clearTimeout(timer);
      if (lease !== undefined) await store.endLease(lease);
    },
  };
};

export default createRegistration;

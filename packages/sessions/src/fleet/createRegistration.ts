import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import type StoreLease from '../seams/storeLease';
import type StorePosition from '../seams/storePosition';
import storeKeys from './storeKeys';
import type VmRegistration from './vmRegistration';

/** Renewals due within one lease; the registration lapses when this many fail in a row. */
const RENEWALS_PER_LEASE = 3;
/** Not shorter: failed store calls are charged too, and heartbeats reach the other VMs without it. */
const RENEWAL_RETRY_DELAY_MS = 700;

interface RegistrationOptions {
  store: MetadataStore;
  vm: string;
  registration: VmRegistration;
  ttlMs: number;
  log: EventLog;
  /** Voter seats of this VM's data centre. */
  seatCount(): number;
  /** Uniformly distributed in [0, 1). */
  random(): number;
}

/** A seat's key and its expected position; revision 0 if the key must not exist. */
interface Seat extends StorePosition {
  key: string;
}

/**
 * Registers this VM as a voter in the metadata store, under a lease that it renews until closed. Each voter
 * holds a seat of its data centre, a key that only one VM can create, so that the number of voters is bounded.
 */
const createRegistration = (options: RegistrationOptions) => {
  const { store, vm, registration, ttlMs, log } = options;
  const seatPrefix = `${storeKeys.seatPrefix}${registration.dataCentre}/`;
  const vmKey = storeKeys.vmPrefix + vm;
  let lease: StoreLease | undefined;
  let registering: Promise<boolean> | undefined;
  let isClosed = false;
  /** Whether the registration is renewed. */
  let isKept = false;
  let isStoreAnswering = true;
  let isRenewing = false;
  /** Whether the store's era rose during the renewal under way. */
  let isRenewalOutdated = false;
  let timer: NodeJS.Timeout | undefined;

  /** The seat that this VM held before, or else any vacant one. */
  const findSeat = async (): Promise<Seat | undefined> => {
    const { items, era } = await store.list(seatPrefix);
    const ownSeat = items.find(({ value }) => value === vm);
    if (ownSeat) return ownSeat;
    const taken = new Set(items.map(({ key }) => key));
    const vacant = Array.from(
      { length: options.seatCount() },
      (_, index) => `${seatPrefix}${index}`,
    ).filter((key) => !taken.has(key));
    const key = vacant[Math.floor(options.random() * vacant.length)];
    return key === undefined ? undefined : { key, revision: 0, era };
  };

  /** Registers with a seat. A VM that others count as a voter already may do without one. */
  const takeSeat = async (isSeatRequired: boolean): Promise<boolean> => {
    const [seat, { item: existing, era }] = await Promise.all([findSeat(), store.get(vmKey)]);
    if (!seat && isSeatRequired) return false;
    const granted = await store.grantLease(ttlMs);
    const outcome = await store.commit({
      // If the era rose between the reads, the commit conflicts.
      era: Math.min(era, seat?.era ?? era),
      expected: [
        { key: vmKey, revision: existing?.revision ?? 0 },
        ...(seat ? [{ key: seat.key, revision: seat.revision }] : []),
      ],
      puts: [
        { key: vmKey, value: JSON.stringify(registration), lease: granted.id },
        ...(seat ? [{ key: seat.key, value: vm, lease: granted.id }] : []),
      ],
    });
    if (outcome.kind === 'committed') {
      lease = granted;
      log.info('vm.registered', { lease, seat: seat?.key });
      return true;
    }
    log.info('vm.seatLost', { seat: seat?.key, outcome: outcome.kind });
    await store.revokeLease(granted);
    return false;
  };

  /** One registration at a time: two would compete for the same keys. */
  const register = (isSeatRequired: boolean): Promise<boolean> => {
    registering ??= takeSeat(isSeatRequired).finally(() => {
      registering = undefined;
    });
    return registering;
  };

  const renewOrRegister = async (): Promise<void> => {
    if (lease !== undefined && (await store.renewLease(lease))) return;
    if (lease !== undefined) log.warn('vm.leaseEnded', { lease });
    lease = undefined;
    if (!(await register(false))) throw new Error('another process changed the registration');
  };

  const runRenewalCycle = (): void => {
    isRenewing = true;
    isRenewalOutdated = false;
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
        isRenewing = false;
        if (!isClosed) timer = setTimeout(runRenewalCycle, isRenewalOutdated ? 0 : delayMs);
      });
  };

  // In a new era the registration and its lease may be gone.
  store.onEraChange(() => {
    if (lease === undefined || isClosed) return;
    isRenewalOutdated = true;
    if (isRenewing || !isKept) return;
    clearTimeout(timer);
    timer = setTimeout(runRenewalCycle, 0);
  });

  return {
    /** Registers; if a seat is required, only where one of the data centre is vacant. Resolves with whether it did. */
    apply: (isSeatRequired = true) => register(isSeatRequired),
    /** Renews the registration from now on, and registers again whenever its lease has ended. */
    keep: (): void => {
      if (isClosed) return;
      isKept = true;
      clearTimeout(timer);
      if (lease === undefined) runRenewalCycle();
      else timer = setTimeout(runRenewalCycle, ttlMs / RENEWALS_PER_LEASE);
    },
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

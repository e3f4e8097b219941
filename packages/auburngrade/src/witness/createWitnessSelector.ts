import {
  createWitness,
  eraOfPosition,
  shouldReplaceWitnesses,
  toLeaseTerm,
  chooseWitnessGroups,
  type ConfigurationState,
  type LeaseRecord,
  type VmLease,
  type Witness,
  type WitnessGroups,
} from '@auburngrade/coordination';
import createVmListCache from '../membership/createVmListCache';
import type createLeaseRecordStore from './createLeaseRecordStore';

interface WitnessSelectorOptions {
  vm: string;
  dataCentre: string;
  incarnation: number;
  leaseMs: number;
  configuration: ConfigurationState;
  records: ReturnType<typeof createLeaseRecordStore>;
  lease: VmLease;
  nowMs(): number;
}

/** What this VM holds under its lease: quota units and allocator roles. */
interface LeasedResources {
  isIdle(): boolean;
  /** Hands these units and roles over to other VMs. */
  handOver(): Promise<void>;
}

/** A VM that holds units replaces outdated witnesses (some left, or more exist) after this time. */
const REPLACE_AFTER_MS = 10_000;
/** The same with fewer than MIN_SAFE_WITNESSES: the loss of one VM may cost the units. */
const URGENT_REPLACE_AFTER_MS = 1_000;
const MIN_SAFE_WITNESSES = 2;
/** Shortest interval between attempts to acquire a lease in a new term after it expired. */
const REACQUIRE_INTERVAL_MS = 1_000;
/** A VM that knows no other VM waits this long for the VM list before it runs without witnesses. */
const LONE_VM_WAIT_MS = 1_000;

/**
 * Creates the selector of this VM's witnesses, the VMs that renew its lease, which it records in
 * the configuration store. They change only while this VM holds nothing, so that a proof of expiry
 * by the recorded witnesses covers everything held under the lease.
 */
const createWitnessSelector = (options: WitnessSelectorOptions) => {
  const { vm, dataCentre, incarnation, leaseMs, configuration, records, lease, nowMs } = options;
  const startedAtMs = nowMs();
  let witness: Witness | undefined;
  let outdatedSinceMs: number | undefined;
  let term = incarnation;
  let acquiredAtMs = Number.NEGATIVE_INFINITY;
  /** Era of the store in which the record was written last. */
  let recordedInEra = 0;

  const listLiveVms = () =>
    [...configuration.list('vm')]
      .filter(([, { state }]) => state === 'live')
      .map(([id, registeredVm]) => ({ id, dataCentre: registeredVm.dataCentre }));

  const findWantedGroups = createVmListCache(configuration, (): WitnessGroups =>
    chooseWitnessGroups(listLiveVms(), vm, dataCentre),
  );
  const findRegisteredVms = createVmListCache(
    configuration,
    () => new Set(configuration.listNames('vm')),
  );

  /** A VM without an earlier record was never a witness, so it can't have lost a promise. */
  const openWitness = (hasEarlierRecord: boolean): void => {
    witness ??= createWitness({ leaseMs, startedAtMs, mayHavePromised: hasEarlierRecord });
  };

  const currentEra = (): number => eraOfPosition(configuration.revision());

  /** Writes the record again, which the store may have lost: others prove by it that this VM's lease expired. */
  const renewRecord = async (record: LeaseRecord): Promise<void> => {
    const era = currentEra();
    const stored = await records.read(vm);
    if (await records.write(vm, record, stored?.revision ?? 0)) recordedInEra = era;
  };

  const acquireLease = async (): Promise<void> => {
    const groups = findWantedGroups();
    const isLoading = configuration.revision() === 0 || groups.length === 0;
    if (isLoading && nowMs() - startedAtMs < LONE_VM_WAIT_MS) return;
    const earlier = await records.read(vm);
    term = Math.max(term + 1, incarnation);
    const record = { ...toLeaseTerm(term, leaseMs), groups };
    const isWritten = await records.write(vm, record, earlier?.revision ?? 0);
    if (!isWritten) return;
    recordedInEra = currentEra();
    openWitness(earlier !== undefined);
    lease.setRecord(record, nowMs());
    outdatedSinceMs = undefined;
    acquiredAtMs = nowMs();
  };

  const needsReplacement = (): boolean => {
    const isOutdated = shouldReplaceWitnesses(
      lease.record()?.groups ?? [],
      findWantedGroups(),
      findRegisteredVms(),
    );
    outdatedSinceMs = isOutdated ? (outdatedSinceMs ?? nowMs()) : undefined;
    return isOutdated;
  };

  const replaceWitnesses = async (resources: LeasedResources): Promise<void> => {
    if (!needsReplacement()) return;
    const isUrgent = (lease.record()?.groups ?? []).flat().length < MIN_SAFE_WITNESSES;
    const isOverdue =
      nowMs() - (outdatedSinceMs ?? nowMs()) >=
      (isUrgent ? URGENT_REPLACE_AFTER_MS : REPLACE_AFTER_MS);
    if (!resources.isIdle() && !isOverdue) return;
    // Fails if the configuration store is unreachable, before anything is handed over.
    await records.read(vm);
    if (!resources.isIdle()) await resources.handOver();
    lease.setRecord(undefined, nowMs());
    await acquireLease();
  };

  return {
    /** This VM in its role as a witness of others; undefined until its own lease is recorded. */
    witness: (): Witness | undefined => witness,
    /**
     * Selects witnesses when there are none, and replaces outdated ones; writes the record again when the
     * store came back from a copy. After expiry, a
     * new term allows renewal by witnesses that promised not to renew the old one.
     */
    update: async (resources: LeasedResources): Promise<void> => {
      const hasExpired = lease.currentGeneration(nowMs()) === undefined;
      const record = lease.record();
      if (!record || (hasExpired && nowMs() - acquiredAtMs > REACQUIRE_INTERVAL_MS))
        await acquireLease();
      else if (recordedInEra < currentEra()) await renewRecord(record);
      else await replaceWitnesses(resources);
    },
  };
};

export default createWitnessSelector;

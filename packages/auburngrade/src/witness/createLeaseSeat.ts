import {
  createWitness,
  isSeatPoor,
  leaseTermOf,
  witnessGroupsOf,
  type ConfigurationState,
  type VmLease,
  type Witness,
  type WitnessGroups,
} from '@auburngrade/coordination';
import createListView from '../membership/createListView';
import type createLeaseRecords from './createLeaseRecords';

interface LeaseSeatOptions {
  vm: string;
  dataCentre: string;
  incarnation: number;
  leaseMs: number;
  configuration: ConfigurationState;
  records: ReturnType<typeof createLeaseRecords>;
  lease: VmLease;
  nowMs(): number;
}

/** What the VM spends under its lease. */
interface LeaseUse {
  isIdle(): boolean;
  /** Hands everything over to other VMs. */
  handOver(): Promise<void>;
}

/** A VM that is in use changes its witnesses after they were too few for this time. */
const POOR_MS = 10_000;
/** The same with so few that the loss of one other VM may cost the shares. */
const URGENT_MS = 1_000;
const URGENT_WITNESSES = 2;
/** A VM whose lease has lapsed takes another one at most this often. */
const RETAKE_MS = 1_000;
/** A VM that knows no other one waits this long for the list before it does without witnesses. */
const ALONE_MS = 1_000;

/**
 * Chooses the witnesses of this VM's lease and records them at the platform. They change only
 * while the VM spends nothing, so that whoever has shown by the record that the lease has
 * lapsed is right about all that was spent under it.
 */
const createLeaseSeat = (options: LeaseSeatOptions) => {
  const { vm, dataCentre, incarnation, leaseMs, configuration, records, lease, nowMs } = options;
  const startedAtMs = nowMs();
  let witness: Witness | undefined;
  let poorSinceMs: number | undefined;
  let term = incarnation;
  let takenAtMs = Number.NEGATIVE_INFINITY;

  const live = () =>
    [...configuration.list('vm')]
      .filter(([, { state }]) => state === 'live')
      .map(([id, listedVm]) => ({ id, dataCentre: listedVm.dataCentre }));

  const wanted = createListView(configuration, (): WitnessGroups =>
    witnessGroupsOf(live(), vm, dataCentre),
  );
  const listed = createListView(configuration, () => new Set(configuration.names('vm')));

  /** A VM without an earlier record was never a witness, so no promise can be lost. */
  const openWitness = (hasEarlierRecord: boolean): void => {
    witness ??= createWitness({ leaseMs, startedAtMs, mayHavePromised: hasEarlierRecord });
  };

  const take = async (): Promise<void> => {
    const groups = wanted();
    const isLoading = configuration.revision() === 0 || groups.length === 0;
    if (isLoading && nowMs() - startedAtMs < ALONE_MS) return;
    const earlier = await records.read(vm);
    term = Math.max(term + 1, incarnation);
    const record = { ...leaseTermOf(term, leaseMs), groups };
    const isWritten = await records.write(vm, record, earlier?.revision ?? 0);
    if (!isWritten) return;
    openWitness(earlier !== undefined);
    lease.seat(record, nowMs());
    poorSinceMs = undefined;
    takenAtMs = nowMs();
  };

  const isPoor = (): boolean => {
    const isNow = isSeatPoor(lease.record()?.groups ?? [], wanted(), listed());
    poorSinceMs = isNow ? (poorSinceMs ?? nowMs()) : undefined;
    return isNow;
  };

  const change = async (use: LeaseUse): Promise<void> => {
    if (!isPoor()) return;
    const isUrgent = (lease.record()?.groups ?? []).flat().length < URGENT_WITNESSES;
    const isLasting = nowMs() - (poorSinceMs ?? nowMs()) >= (isUrgent ? URGENT_MS : POOR_MS);
    if (!use.isIdle() && !isLasting) return;
    // Shows that the platform answers before anything is given up.
    await records.read(vm);
    if (!use.isIdle()) await use.handOver();
    lease.seat(undefined, nowMs());
    await take();
  };

  return {
    witness: (): Witness | undefined => witness,
    /**
     * Takes witnesses when there are none, or others when these are too few. After a lapse a
     * new term lets witnesses renew that have promised not to renew the old one.
     */
    update: async (use: LeaseUse): Promise<void> => {
      const hasLapsed = lease.standing(nowMs()) === undefined;
      if (!lease.record() || (hasLapsed && nowMs() - takenAtMs > RETAKE_MS)) await take();
      else await change(use);
    },
  };
};

export default createLeaseSeat;

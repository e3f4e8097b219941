import {
  createFence,
  documentKinds,
  eraOfPosition,
  type ConfigurationState,
  type QuotaRecord,
  type VmLease,
} from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import type Logger from '../log/logger';
import NO_ALLOCATOR from './noAllocator';
import type QuotaState from './quotaState';
import updateQuotaState from './updateQuotaState';

interface QuotaRecordWriterOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  platform: ConfigurationStore;
  /** This VM's lease; only a VM with a valid lease may be an allocator. */
  lease: VmLease;
  timeoutMs: number;
  nowMs(): number;
  logger: Logger;
}

/** Registered VMs recorded as consumers in advance, which saves a write before their first grant. */
const MAX_INITIAL_CONSUMERS = 64;
const CLAIM_INTERVAL_MS = 1_000;

/** Creates the writer of the stored records that name a quota's allocator and consumers. */
const createQuotaRecordWriter = (options: QuotaRecordWriterOptions) => {
  const { vm, incarnation, configuration, platform, lease, timeoutMs, nowMs, logger } = options;
  /** Consumers whose removal from a record is being written, as `quota/vm`. */
  const pendingRemovals = new Set<string>();

  const writeRecord = async (name: string, record: QuotaRecord): Promise<string> => {
    const key = documentKinds.share.prefix + name;
    const expectedRevision = configuration.getDocumentRevision('share', name) ?? 0;
    const put = { key, valueJson: JSON.stringify(record), expectedRevision };
    const outcome = await platform.compareAndSwap([put], timeoutMs);
    if (outcome.kind === 'applied') {
      const entry = { key, valueJson: put.valueJson, modRevision: outcome.revision };
      configuration.applyChanges(0, [entry]);
    }
    if (outcome.kind === 'conflict') configuration.applyChanges(0, outcome.current);
    return outcome.kind;
  };

  /** Returns the record if it names this process as the allocator. */
  const findOwnRecord = (name: string): QuotaRecord | undefined => {
    const record = configuration.get('share', name);
    return record?.keeper === vm && record.incarnation === incarnation ? record : undefined;
  };

  return {
    /**
     * Tries to become the allocator in a new epoch; the configuration's record shows the result.
     * `expiredVm` is the present allocator if its lease is proven to have expired; if not given,
     * the present allocator may still be active.
     */
    claim: async (state: QuotaState, expiredVm?: string): Promise<void> => {
      const currentGeneration = lease.currentGeneration(nowMs());
      if (nowMs() < state.nextClaimAtMs || currentGeneration === undefined) return;
      updateQuotaState(state, { nextClaimAtMs: nowMs() + CLAIM_INTERVAL_MS });
      const record = configuration.get('share', state.name);
      const recordedVms = record ? [...record.holders, record.keeper] : [];
      const earlierVms = recordedVms.filter((other) => other !== NO_ALLOCATOR);
      const activeAllocators = record ? [...record.former, record.keeper] : [];
      const former = activeAllocators.filter(
        (other) => ![NO_ALLOCATOR, vm, expiredVm].includes(other),
      );
      const registeredVms = configuration.listNames('vm').slice(0, MAX_INITIAL_CONSUMERS);
      const epoch = createFence(record?.epoch ?? 0, eraOfPosition(configuration.revision()));
      // An earlier process of this VM has ended and holds no units.
      const unreportedVms = new Set(earlierVms.filter((other) => ![vm, expiredVm].includes(other)));
      // An earlier attempt at the epoch, whose answer was lost, may have been written under an earlier lease.
      const isRepeated = state.claim?.epoch === epoch;
      const leaseGeneration = (isRepeated && state.claim?.leaseGeneration) || currentGeneration;
      updateQuotaState(state, { claim: { epoch, unreportedVms, leaseGeneration } });
      const holders = [...new Set([...earlierVms, ...registeredVms, vm])];
      const sentAtMs = nowMs();
      const next = { epoch, keeper: vm, incarnation, holders, former: [...new Set(former)] };
      const outcome = await writeRecord(state.name, next);
      if (outcome === 'applied') updateQuotaState(state, { authorityConfirmedAtMs: sentAtMs });
      logger.info('share.claimed', { share: state.name, epoch, outcome });
    },
    /**
     * Transfers the allocator role before this VM stops; true when written. Without a successor
     * all units are this VM's, and the next VM to claim the quota gets them.
     */
    transfer: async (
      name: string,
      successor: { vm: string; incarnation: number } | undefined,
      ledger: { holding: readonly string[]; areAllUnitsClaimed: boolean },
    ): Promise<boolean> => {
      const record = findOwnRecord(name);
      if (!record) return false;
      const epoch = record.epoch + 1;
      const next = successor
        ? { epoch, keeper: successor.vm, incarnation: successor.incarnation }
        : { epoch, keeper: NO_ALLOCATOR, incarnation: 0 };
      const holders = successor ? [...new Set([...record.holders, vm])] : [];
      const holding = [...new Set([...ledger.holding, vm])];
      const former = ledger.areAllUnitsClaimed ? [] : record.former;
      const fullRecord = { ...next, holders, holding, former };
      return (await writeRecord(name, fullRecord)) === 'applied';
    },
    /** Removes unregistered VMs that hold no units from the record; true when done. */
    prune: async (name: string, holding: readonly string[]): Promise<boolean> => {
      const record = findOwnRecord(name);
      if (!record) return false;
      const isRegistered = (id: string): boolean => configuration.get('vm', id) !== undefined;
      const removedVms = record.holders.filter((id) => !isRegistered(id) && !holding.includes(id));
      if (removedVms.length === 0 && record.former.length === 0) return true;
      removedVms.forEach((id) => pendingRemovals.add(`${name}/${id}`));
      const holders = record.holders.filter((id) => !removedVms.includes(id));
      const outcome = await writeRecord(name, { ...record, holders, former: [] });
      removedVms.forEach((id) => pendingRemovals.delete(`${name}/${id}`));
      return outcome === 'applied';
    },
    /** Records a VM as a consumer; true when units may be granted to it. */
    addConsumer: async (name: string, consumer: string): Promise<boolean> => {
      const record = findOwnRecord(name);
      if (!record || pendingRemovals.has(`${name}/${consumer}`)) return false;
      if (record.holders.includes(consumer)) return true;
      const outcome = await writeRecord(name, {
        ...record,
        holders: [...record.holders, consumer],
      });
      return outcome === 'applied';
    },
  };
};

export default createQuotaRecordWriter;

import {
  documentKinds,
  type ConfigurationState,
  type ShareRecord,
  type VmLease,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type Logger from '../log/logger';
import NO_KEEPER from './noAllocator';
import type ShareState from './shareState';
import updateShareState from './updateQuotaState';

interface ShareRecordWriterOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  platform: Platform;
  /** This VM's lease; only a VM with a valid lease may be a keeper. */
  lease: VmLease;
  timeoutMs: number;
  nowMs(): number;
  logger: Logger;
}

/** VMs recorded as holders in advance, which saves a write before their first grant. */
const MAX_LISTED_HOLDERS = 64;
const CLAIM_INTERVAL_MS = 1_000;

/** Creates the writer of share records, which name a share's keeper and holders at the platform. */
const createShareRecordWriter = (options: ShareRecordWriterOptions) => {
  const { vm, incarnation, configuration, platform, lease, timeoutMs, nowMs, logger } = options;
  /** Holders whose removal from a record is being written, as `share/vm`. */
  const pendingRemovals = new Set<string>();

  const writeRecord = async (name: string, record: ShareRecord): Promise<string> => {
    const key = documentKinds.share.prefix + name;
    const expectedRevision = configuration.revisionOf('share', name) ?? 0;
    const put = { key, valueJson: JSON.stringify(record), expectedRevision };
    const outcome = await platform.compareAndSwap([put], timeoutMs);
    if (outcome.kind === 'applied') {
      const entry = { key, valueJson: put.valueJson, modRevision: outcome.revision };
      configuration.applyChanges(0, [entry]);
    }
    if (outcome.kind === 'conflict') configuration.applyChanges(0, outcome.current);
    return outcome.kind;
  };

  /** Returns the record if it names this process as the keeper. */
  const findOwnRecord = (name: string): ShareRecord | undefined => {
    const record = configuration.get('share', name);
    return record?.keeper === vm && record.incarnation === incarnation ? record : undefined;
  };

  return {
    /**
     * Tries to become the keeper in a new epoch; the configuration's record shows the result.
     * `lapsedVm` is the present keeper if its lease is proven to have lapsed; if not given, the
     * present keeper may still act.
     */
    claim: async (state: ShareState, lapsedVm?: string): Promise<void> => {
      if (nowMs() < state.nextClaimAtMs || lease.standing(nowMs()) === undefined) return;
      updateShareState(state, { nextClaimAtMs: nowMs() + CLAIM_INTERVAL_MS });
      const record = configuration.get('share', state.name);
      const recordedVms = record ? [...record.holders, record.keeper] : [];
      const earlierVms = recordedVms.filter((holder) => holder !== NO_KEEPER);
      const actingKeepers = record ? [...record.former, record.keeper] : [];
      const former = actingKeepers.filter((keeper) => ![NO_KEEPER, vm, lapsedVm].includes(keeper));
      const listedVms = configuration.names('vm').slice(0, MAX_LISTED_HOLDERS);
      const epoch = (record?.epoch ?? 0) + 1;
      // An earlier process of this VM has ended and holds no units.
      const unreported = new Set(earlierVms.filter((holder) => ![vm, lapsedVm].includes(holder)));
      updateShareState(state, { claim: { epoch, unreported } });
      const holders = [...new Set([...earlierVms, ...listedVms, vm])];
      const sentAtMs = nowMs();
      const next = { epoch, keeper: vm, incarnation, holders, former: [...new Set(former)] };
      const outcome = await writeRecord(state.name, next);
      if (outcome === 'applied') updateShareState(state, { authorityConfirmedAtMs: sentAtMs });
      logger.info('share.claimed', { share: state.name, epoch, outcome });
    },
    /**
     * Transfers the keeper role before this VM stops; true when written. Without a successor
     * all units are this VM's, and the next VM to claim the share gets them.
     */
    transfer: async (
      name: string,
      successor: { vm: string; incarnation: number } | undefined,
      ledger: { holding: readonly string[]; isMinted: boolean },
    ): Promise<boolean> => {
      const record = findOwnRecord(name);
      if (!record) return false;
      const epoch = record.epoch + 1;
      const next = successor
        ? { epoch, keeper: successor.vm, incarnation: successor.incarnation }
        : { epoch, keeper: NO_KEEPER, incarnation: 0 };
      const holders = successor ? [...new Set([...record.holders, vm])] : [];
      const holding = [...new Set([...ledger.holding, vm])];
      const former = ledger.isMinted ? [] : record.former;
      const fullRecord = { ...next, holders, holding, former };
      return (await writeRecord(name, fullRecord)) === 'applied';
    },
    /** Removes VMs that left the fleet and hold no units from the record; true when done. */
    prune: async (name: string, holding: readonly string[]): Promise<boolean> => {
      const record = findOwnRecord(name);
      if (!record) return false;
      const isListed = (id: string): boolean => configuration.get('vm', id) !== undefined;
      const removedVms = record.holders.filter((id) => !isListed(id) && !holding.includes(id));
      if (removedVms.length === 0 && record.former.length === 0) return true;
      removedVms.forEach((id) => pendingRemovals.add(`${name}/${id}`));
      const holders = record.holders.filter((id) => !removedVms.includes(id));
      const outcome = await writeRecord(name, { ...record, holders, former: [] });
      removedVms.forEach((id) => pendingRemovals.delete(`${name}/${id}`));
      return outcome === 'applied';
    },
    /** Records a VM as a holder; true when units may be granted to it. */
    addHolder: async (name: string, holder: string): Promise<boolean> => {
      const record = findOwnRecord(name);
      if (!record || pendingRemovals.has(`${name}/${holder}`)) return false;
      if (record.holders.includes(holder)) return true;
      const outcome = await writeRecord(name, { ...record, holders: [...record.holders, holder] });
      return outcome === 'applied';
    },
  };
};

export default createShareRecordWriter;

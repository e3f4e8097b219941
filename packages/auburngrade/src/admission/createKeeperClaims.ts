import {
  documentKinds,
  type ConfigurationState,
  type ShareRecord,
  type VmLease,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type Logger from '../log/logger';
import NO_KEEPER from './noKeeper';
import type ShareState from './shareState';
import updateShareState from './updateShareState';

interface KeeperClaimsOptions {
  vm: string;
  incarnation: number;
  configuration: ConfigurationState;
  platform: Platform;
  /** The VM's lease, without which it can't be a keeper. */
  lease: VmLease;
  timeoutMs: number;
  nowMs(): number;
  logger: Logger;
}

/** VMs named as holders in advance, so that these need no write before their first units. */
const MAX_LISTED_HOLDERS = 64;
const CLAIM_INTERVAL_MS = 1_000;

/** Writes the records that say which VM keeps an account's shares. */
const createKeeperClaims = (options: KeeperClaimsOptions) => {
  const { vm, incarnation, configuration, platform, lease, timeoutMs, nowMs, logger } = options;
  /** Holders that are being taken off a record. */
  const leavers = new Set<string>();

  const write = async (name: string, record: ShareRecord): Promise<string> => {
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

  /** The record while it names this process as the keeper. */
  const own = (name: string): ShareRecord | undefined => {
    const record = configuration.get('share', name);
    return record?.keeper === vm && record.incarnation === incarnation ? record : undefined;
  };

  return {
    /**
     * Tries to become the keeper in a new epoch; the record tells whether it worked. `goneVm`
     * is the present keeper when its lease has certainly lapsed; another may still act.
     */
    claim: async (state: ShareState, goneVm?: string): Promise<void> => {
      if (nowMs() < state.claimAfterMs || lease.standing(nowMs()) === undefined) return;
      updateShareState(state, { claimAfterMs: nowMs() + CLAIM_INTERVAL_MS });
      const record = configuration.get('share', state.name);
      const known = record ? [...record.holders, record.keeper] : [];
      const earlier = known.filter((holder) => holder !== NO_KEEPER);
      const acting = record ? [...record.former, record.keeper] : [];
      const former = acting.filter((keeper) => ![NO_KEEPER, vm, goneVm].includes(keeper));
      const listed = configuration.names('vm').slice(0, MAX_LISTED_HOLDERS);
      const epoch = (record?.epoch ?? 0) + 1;
      // An earlier process of this VM is certainly gone; it holds nothing.
      const unreported = new Set(earlier.filter((holder) => ![vm, goneVm].includes(holder)));
      updateShareState(state, { claim: { epoch, unreported } });
      const holders = [...new Set([...earlier, ...listed, vm])];
      const sentAtMs = nowMs();
      const next = { epoch, keeper: vm, incarnation, holders, former: [...new Set(former)] };
      const outcome = await write(state.name, next);
      if (outcome === 'applied') updateShareState(state, { authorityAtMs: sentAtMs });
      logger.info('share.claimed', { share: state.name, epoch, outcome });
    },
    /**
     * Names the next keeper before this VM stops; without one, all units are this
     * VM's own and free for whoever claims the share next.
     */
    pass: async (
      name: string,
      successor: { vm: string; incarnation: number } | undefined,
      ledger: { holding: readonly string[]; isMinted: boolean },
    ): Promise<boolean> => {
      const record = own(name);
      if (!record) return false;
      const epoch = record.epoch + 1;
      const next = successor
        ? { epoch, keeper: successor.vm, incarnation: successor.incarnation }
        : { epoch, keeper: NO_KEEPER, incarnation: 0 };
      const holders = successor ? [...new Set([...record.holders, vm])] : [];
      const holding = [...new Set([...ledger.holding, vm])];
      const former = ledger.isMinted ? [] : record.former;
      const all = { ...next, holders, holding, former };
      return (await write(name, all)) === 'applied';
    },
    /** Takes VMs off the record that are not listed any more and hold nothing; true when done. */
    prune: async (name: string, holding: readonly string[]): Promise<boolean> => {
      const record = own(name);
      if (!record) return false;
      const isListed = (id: string): boolean => configuration.get('vm', id) !== undefined;
      const leaving = record.holders.filter((id) => !isListed(id) && !holding.includes(id));
      if (leaving.length === 0 && record.former.length === 0) return true;
      leaving.forEach((id) => leavers.add(`${name}/${id}`));
      const holders = record.holders.filter((id) => !leaving.includes(id));
      const outcome = await write(name, { ...record, holders, former: [] });
      leaving.forEach((id) => leavers.delete(`${name}/${id}`));
      return outcome === 'applied';
    },
    /** Names another VM as holder; true when units may be granted to it. */
    addHolder: async (name: string, holder: string): Promise<boolean> => {
      const record = own(name);
      if (!record || leavers.has(`${name}/${holder}`)) return false;
      if (record.holders.includes(holder)) return true;
      const outcome = await write(name, { ...record, holders: [...record.holders, holder] });
      return outcome === 'applied';
    },
  };
};

export default createKeeperClaims;

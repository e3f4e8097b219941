import {
  documentKinds,
  type ConfigurationState,
  type ShareRecord,
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
  timeoutMs: number;
  nowMs(): number;
  logger: Logger;
}

/** VMs named as holders in advance, so that these need no write before their first units. */
const MAX_LISTED_HOLDERS = 64;
const CLAIM_INTERVAL_MS = 1_000;

/** Writes the records that say which VM keeps an account's shares. */
const createKeeperClaims = (options: KeeperClaimsOptions) => {
  const { vm, incarnation, configuration, platform, timeoutMs, nowMs, logger } = options;

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

  return {
    /** Tries to become the keeper in a new epoch; the record tells whether it worked. */
    claim: async (state: ShareState): Promise<void> => {
      if (nowMs() < state.claimAfterMs) return;
      updateShareState(state, { claimAfterMs: nowMs() + CLAIM_INTERVAL_MS });
      const record = configuration.get('share', state.name);
      const known = record ? [...record.holders, record.keeper] : [];
      const earlier = known.filter((holder) => holder !== NO_KEEPER);
      const listed = configuration.names('vm').slice(0, MAX_LISTED_HOLDERS);
      const epoch = (record?.epoch ?? 0) + 1;
      // An earlier process of this VM is certainly gone; it holds nothing.
      const unreported = new Set(earlier.filter((holder) => holder !== vm));
      updateShareState(state, { claim: { epoch, unreported } });
      const holders = [...new Set([...earlier, ...listed, vm])];
      const sentAtMs = nowMs();
      const outcome = await write(state.name, { epoch, keeper: vm, incarnation, holders });
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
    ): Promise<boolean> => {
      const record = configuration.get('share', name);
      if (!record || record.keeper !== vm || record.incarnation !== incarnation) return false;
      const epoch = record.epoch + 1;
      const next = successor
        ? { epoch, keeper: successor.vm, incarnation: successor.incarnation }
        : { epoch, keeper: NO_KEEPER, incarnation: 0 };
      const holders = successor ? [...new Set([...record.holders, vm])] : [];
      return (await write(name, { ...next, holders })) === 'applied';
    },
    /** Names another VM as holder; true when units may be granted to it. */
    addHolder: async (name: string, holder: string): Promise<boolean> => {
      const record = configuration.get('share', name);
      if (!record || record.keeper !== vm || record.incarnation !== incarnation) return false;
      if (record.holders.includes(holder)) return true;
      const outcome = await write(name, { ...record, holders: [...record.holders, holder] });
      return outcome === 'applied';
    },
  };
};

export default createKeeperClaims;

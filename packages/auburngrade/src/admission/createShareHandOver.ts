import type Logger from '../log/logger';
import sleep from '../time/sleep';
import type createShareRecordWriter from './createShareRecordWriter';
import type createShareProtocol from './createShareProtocol';
import type createShareRoles from './createShareRoles';
import type ShareState from './shareState';
import updateShareState from './updateQuotaState';

interface ShareHandOverOptions {
  recordWriter: ReturnType<typeof createShareRecordWriter>;
  roles: ReturnType<typeof createShareRoles>;
  protocol: ReturnType<typeof createShareProtocol>;
  nowMs(): number;
  logger: Logger;
}

const MAX_RELEASE_ATTEMPTS = 10;
const RELEASE_RETRY_MS = 100;

/** Creates the function that hands a share's units and keeper role over when this VM stops. */
const createShareHandOver = (options: ShareHandOverOptions) => {
  const { recordWriter, roles, protocol, nowMs, logger } = options;

  const releaseAll = async (state: ShareState): Promise<void> => {
    state.holder?.releaseAll(nowMs());
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt += 1) {
      if (await protocol.sync(state, false)) return;
      await sleep(RELEASE_RETRY_MS);
    }
    logger.warn('share.notHandedOver', { share: state.name });
  };

  /**
   * Transfers the keeper role; from the attempt on, whatever its outcome, this VM no longer acts
   * as the keeper. Resolves with whether units are left to release.
   */
  const transferLedger = async (state: ShareState): Promise<boolean> => {
    const { keeper } = state;
    if (!keeper) return true;
    const successor = keeper.successor();
    // Units that have not been reported yet can't be handed over.
    if (!successor && !keeper.isMinted()) return false;
    const holding = [...keeper.holding(), ...keeper.unreported()];
    const ledger = { holding, isMinted: keeper.isMinted() };
    updateShareState(state, { isTransferring: true });
    // The next claimant starts with all units, even if the answer to this write is lost.
    if (!successor) keeper.resign(nowMs());
    const isTransferred = await recordWriter.transfer(state.name, successor, ledger);
    roles.refresh(state);
    return isTransferred && successor !== undefined;
  };

  return async (state: ShareState): Promise<void> => {
    roles.refresh(state);
    if (!(await transferLedger(state))) return;
    if (state.holder && state.holder.units(nowMs()) > 0) await releaseAll(state);
  };
};

export default createShareHandOver;

import type Logger from '../log/logger';
import sleep from '../time/sleep';
import type createKeeperClaims from './createKeeperClaims';
import type createShareExchange from './createShareExchange';
import type createShareRoles from './createShareRoles';
import type ShareState from './shareState';
import updateShareState from './updateShareState';

interface ShareHandOverOptions {
  claims: ReturnType<typeof createKeeperClaims>;
  roles: ReturnType<typeof createShareRoles>;
  exchange: ReturnType<typeof createShareExchange>;
  nowMs(): number;
  logger: Logger;
}

const ATTEMPTS = 10;
const RETRY_MS = 100;

/** Gives a share's units, and its ledger if this VM keeps it, to other VMs. */
const createShareHandOver = (options: ShareHandOverOptions) => {
  const { claims, roles, exchange, nowMs, logger } = options;

  const releaseAll = async (state: ShareState): Promise<void> => {
    state.holder?.releaseAll(nowMs());
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      if (await exchange.sync(state, false)) return;
      await sleep(RETRY_MS);
    }
    logger.warn('share.notHandedOver', { share: state.name });
  };

  /** Names the next keeper; from then on this VM keeps the share no more, whatever comes back. */
  const pass = async (state: ShareState): Promise<boolean> => {
    const { keeper } = state;
    if (!keeper) return true;
    const successor = keeper.successor();
    // Units that have not been reported yet are nobody's to give away.
    if (!successor && !keeper.isMinted()) return false;
    const holding = [...keeper.holding(), ...keeper.unreported()];
    const ledger = { holding, isMinted: keeper.isMinted() };
    updateShareState(state, { isPassing: true });
    // Whoever claims the share next starts with all units, also when the answer is lost.
    if (!successor) keeper.resign(nowMs());
    const isPassed = await claims.pass(state.name, successor, ledger);
    roles.refresh(state);
    return isPassed && successor !== undefined;
  };

  return async (state: ShareState): Promise<void> => {
    roles.refresh(state);
    if (!(await pass(state))) return;
    if (state.holder && state.holder.units(nowMs()) > 0) await releaseAll(state);
  };
};

export default createShareHandOver;

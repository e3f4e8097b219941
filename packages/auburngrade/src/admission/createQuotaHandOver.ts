import type Logger from '../log/logger';
import sleep from '../time/sleep';
import type createQuotaRecordWriter from './createQuotaRecordWriter';
import type createQuotaProtocol from './createQuotaProtocol';
import type createQuotaRoles from './createQuotaRoles';
import type QuotaState from './quotaState';
import updateQuotaState from './updateQuotaState';

interface QuotaHandOverOptions {
  recordWriter: ReturnType<typeof createQuotaRecordWriter>;
  roles: ReturnType<typeof createQuotaRoles>;
  protocol: ReturnType<typeof createQuotaProtocol>;
  nowMs(): number;
  logger: Logger;
}

const MAX_RELEASE_ATTEMPTS = 10;
const RELEASE_RETRY_MS = 100;

/** Creates the function that hands a quota's units and the allocator role over when this VM stops. */
const createQuotaHandOver = (options: QuotaHandOverOptions) => {
  const { recordWriter, roles, protocol, nowMs, logger } = options;

  const releaseAll = async (state: QuotaState): Promise<void> => {
    state.consumer?.releaseAll(nowMs());
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt += 1) {
      if (await protocol.reportInTurn(state, false)) return;
      await sleep(RELEASE_RETRY_MS);
    }
    logger.warn('share.notHandedOver', { share: state.name });
  };

  /**
   * Transfers the allocator role; from the attempt on, whatever its outcome, this VM no longer
   * acts as the allocator. Resolves with whether units are left to release.
   */
  const transferRole = async (state: QuotaState): Promise<boolean> => {
    const { keeper: allocator } = state;
    if (!allocator) return true;
    const successor = allocator.successor();
    // Units that have not been reported yet can't be handed over.
    if (!successor && !allocator.areAllUnitsClaimed()) return false;
    const holding = [...allocator.holding(), ...allocator.unreportedVms()];
    const ledger = { holding, areAllUnitsClaimed: allocator.areAllUnitsClaimed() };
    updateQuotaState(state, { isTransferring: true });
    // The next claimant starts with all units, even if the answer to this write is lost.
    if (!successor) allocator.drain(nowMs());
    const isTransferred = await recordWriter.transfer(state.name, successor, ledger);
    roles.refresh(state);
    return isTransferred && successor !== undefined;
  };

  return async (state: QuotaState): Promise<void> => {
    roles.refresh(state);
    if (!(await transferRole(state))) return;
    if (state.consumer && state.consumer.units(nowMs()) > 0) await releaseAll(state);
  };
};

export default createQuotaHandOver;

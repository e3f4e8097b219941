import type { VmLease } from '@auburngrade/coordination';
import createShareRecordWriter from './createShareRecordWriter';
import createPauseDetector from './createPauseDetector';
import createShareProtocol from './createShareProtocol';
import createShareHandOver from './createShareHandOver';
import createShareRoles from './createShareRoles';
import createShareState from './createShareState';
import createTokenAcquirer from './createTokenAcquirer';
import createShareMaintenance from './createShareMaintenance';
import type ShareServiceOptions from './shareServiceOptions';
import type ShareState from './shareState';
import updateShareState from './updateQuotaState';

const MAINTENANCE_INTERVAL_MS = 200;
const UNKNOWN_SHARE_RETRY_MS = 1_000;

/** Creates the service for all shares of rates of which this VM is the keeper or a holder. */
const createShareService = (options: ShareServiceOptions) => {
  const { platformTimeoutMs, findLimit, nowMs, logger } = options;
  const states = new Map<string, ShareState>();
  const pauseDetector = createPauseDetector(nowMs);
  const lease: VmLease = options.leases.lease;
  let trustedConfirmationAtMs = Number.NEGATIVE_INFINITY;

  const confirmedAtMs = (): number => {
    if (pauseDetector.isCaughtUp()) trustedConfirmationAtMs = options.confirmedAtMs();
    return trustedConfirmationAtMs;
  };

  const findOrCreateState = (name: string): ShareState | undefined => {
    const limit = findLimit(name);
    if (!limit) return undefined;
    const state = states.get(name) ?? createShareState(name, limit);
    states.set(name, state);
    if (state.limit !== limit) {
      updateShareState(state, { limit });
      state.holder?.setLimit(limit, nowMs());
      state.keeper?.setLimit(limit, nowMs());
    }
    return state;
  };

  const recordWriter = createShareRecordWriter({ ...options, lease, timeoutMs: platformTimeoutMs });
  const roles = createShareRoles({ ...options, lease, confirmedAtMs });
  const protocol = createShareProtocol({ ...options, recordWriter, roles, findOrCreateState });
  const componentOptions = { ...options, recordWriter, roles, protocol };
  const tokenAcquirer = createTokenAcquirer(componentOptions);
  const maintainShare = createShareMaintenance(componentOptions);
  const handOverShare = createShareHandOver(componentOptions);

  const sharesInMaintenance = new Set<string>();
  const maintainAll = (): void => {
    states.forEach((state, name) => {
      if (sharesInMaintenance.has(name) || !findLimit(name)) return;
      sharesInMaintenance.add(name);
      maintainShare(state)
        .catch((error: Error) => logger.debug('share.tickFailed', { message: error.message }))
        .finally(() => sharesInMaintenance.delete(name));
    });
  };
  const maintenanceTimer = setInterval(maintainAll, MAINTENANCE_INTERVAL_MS);
  maintenanceTimer.unref();

  const countUnits = ({ keeper, holder }: ShareState): number =>
    (keeper ?? holder)?.units(nowMs()) ?? 0;

  return {
    /** Takes one token; resolves with undefined on success, else with the refusal. */
    take: async (name: string, deadlineAtMs: number) => {
      const state = findOrCreateState(name);
      if (!state)
        return { code: 'shareUnavailable' as const, retryAfterMs: UNKNOWN_SHARE_RETRY_MS };
      return tokenAcquirer.take(state, deadlineAtMs);
    },
    /** Returns a token of a request that was then refused for another reason. */
    putBack: (name: string): void => {
      const state = states.get(name);
      if (state) tokenAcquirer.putBack(state);
    },
    /** Handlers of messages from other VMs, by message kind. */
    handlers: protocol.handlers,
    /** Whether this VM holds no units and is no share's keeper. */
    isIdle: (): boolean =>
      [...states.values()].every((state) => !state.keeper && countUnits(state) === 0),
    /** Hands units and keeper roles over to other VMs. */
    handOver: async (): Promise<void> => {
      await Promise.all([...states.values()].map(handOverShare));
    },
    stop: (): void => {
      clearInterval(maintenanceTimer);
      pauseDetector.stop();
    },
    describe: () =>
      Object.fromEntries(
        [...states].map(([name, state]) => [
          name,
          { role: state.keeper ? 'keeper' : 'holder', units: countUnits(state) },
        ]),
      ),
  };
};

export default createShareService;

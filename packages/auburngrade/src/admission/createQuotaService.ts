import type { VmLease } from '@auburngrade/coordination';
import createQuotaRecordWriter from './createQuotaRecordWriter';
import createPauseDetector from './createPauseDetector';
import createQuotaProtocol from './createQuotaProtocol';
import createQuotaHandOver from './createQuotaHandOver';
import createQuotaRoles from './createQuotaRoles';
import createQuotaState from './createQuotaState';
import createTokenAcquirer from './createTokenAcquirer';
import createQuotaMaintenance from './createQuotaMaintenance';
import type QuotaServiceOptions from './quotaServiceOptions';
import type QuotaState from './quotaState';
import updateQuotaState from './updateQuotaState';

const MAINTENANCE_INTERVAL_MS = 200;
const UNKNOWN_QUOTA_RETRY_MS = 1_000;

/** Creates the service for all quotas of which this VM is the allocator or a consumer. */
const createQuotaService = (options: QuotaServiceOptions) => {
  const { platformTimeoutMs, findLimit, nowMs, logger } = options;
  const states = new Map<string, QuotaState>();
  const pauseDetector = createPauseDetector(nowMs);
  const lease: VmLease = options.leases.lease;
  let trustedConfirmationAtMs = Number.NEGATIVE_INFINITY;

  const confirmedAtMs = (): number => {
    if (pauseDetector.isCaughtUp()) trustedConfirmationAtMs = options.confirmedAtMs();
    return trustedConfirmationAtMs;
  };

  const findOrCreateState = (name: string): QuotaState | undefined => {
    const limit = findLimit(name);
    if (!limit) return undefined;
    const state = states.get(name) ?? createQuotaState(name, limit);
    states.set(name, state);
    if (state.limit !== limit) {
      updateQuotaState(state, { limit });
      state.consumer?.setLimit(limit, nowMs());
      state.keeper?.setLimit(limit, nowMs());
    }
    return state;
  };

  const recordWriter = createQuotaRecordWriter({ ...options, lease, timeoutMs: platformTimeoutMs });
  const roles = createQuotaRoles({ ...options, lease, confirmedAtMs });
  const protocol = createQuotaProtocol({ ...options, recordWriter, roles, findOrCreateState });
  const componentOptions = { ...options, recordWriter, roles, protocol };
  const tokenAcquirer = createTokenAcquirer(componentOptions);
  const maintainQuota = createQuotaMaintenance(componentOptions);
  const handOverQuota = createQuotaHandOver(componentOptions);

  const quotasInMaintenance = new Set<string>();
  const maintainAll = (): void => {
    states.forEach((state, name) => {
      if (quotasInMaintenance.has(name) || !findLimit(name)) return;
      quotasInMaintenance.add(name);
      maintainQuota(state)
        .catch((error: Error) => logger.debug('share.tickFailed', { message: error.message }))
        .finally(() => quotasInMaintenance.delete(name));
    });
  };
  const maintenanceTimer = setInterval(maintainAll, MAINTENANCE_INTERVAL_MS);
  maintenanceTimer.unref();

  const countUnits = ({ keeper: allocator, consumer }: QuotaState): number =>
    (allocator ?? consumer)?.units(nowMs()) ?? 0;

  return {
    /** Takes one token; resolves with undefined on success, else with the refusal. */
    take: async (name: string, deadlineAtMs: number) => {
      const state = findOrCreateState(name);
      if (!state)
        return { code: 'shareUnavailable' as const, retryAfterMs: UNKNOWN_QUOTA_RETRY_MS };
      return tokenAcquirer.take(state, deadlineAtMs);
    },
    /** Refunds the token of a request that was then refused for another reason. */
    refundToken: (name: string): void => {
      const state = states.get(name);
      if (state) tokenAcquirer.refundToken(state);
    },
    /** Handlers of messages from other VMs, by message kind. */
    messageHandlers: protocol.messageHandlers,
    /** Whether this VM holds no units and is no quota's allocator. */
    isIdle: (): boolean =>
      [...states.values()].every((state) => !state.keeper && countUnits(state) === 0),
    /** Hands units and allocator roles over to other VMs. */
    handOver: async (): Promise<void> => {
      await Promise.all([...states.values()].map(handOverQuota));
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

export default createQuotaService;

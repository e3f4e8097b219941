import type { VmLease } from '@auburngrade/coordination';
import createKeeperClaims from './createKeeperClaims';
import createPauseGuard from './createPauseGuard';
import createShareExchange from './createShareExchange';
import createShareHandOver from './createShareHandOver';
import createShareRoles from './createShareRoles';
import createShareState from './createShareState';
import createShareTaking from './createShareTaking';
import createShareUpkeep from './createShareUpkeep';
import type ShareServiceOptions from './shareServiceOptions';
import type ShareState from './shareState';
import updateShareState from './updateShareState';

const TICK_MS = 200;
const MS_PER_S = 1_000;

/** The shares of client accounts' rates that this VM keeps or holds. */
const createShareService = (options: ShareServiceOptions) => {
  const { platformTimeoutMs, limitOf, nowMs, logger } = options;
  const states = new Map<string, ShareState>();
  const guard = createPauseGuard(nowMs);
  const lease: VmLease = options.leases.lease;
  let trustedConfirmationMs = Number.NEGATIVE_INFINITY;

  const confirmedAtMs = (): number => {
    if (guard.isSteady()) trustedConfirmationMs = options.confirmedAtMs();
    return trustedConfirmationMs;
  };

  const stateOf = (name: string): ShareState | undefined => {
    const limit = limitOf(name);
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

  const claims = createKeeperClaims({ ...options, lease, timeoutMs: platformTimeoutMs });
  const roles = createShareRoles({ ...options, lease, confirmedAtMs });
  const exchange = createShareExchange({ ...options, claims, roles, stateOf });
  const parts = { ...options, claims, roles, exchange };
  const taking = createShareTaking(parts);
  const upkeep = createShareUpkeep(parts);
  const handOverOne = createShareHandOver(parts);

  const busy = new Set<string>();
  const tick = (): void => {
    states.forEach((state, name) => {
      if (busy.has(name) || !limitOf(name)) return;
      busy.add(name);
      upkeep(state)
        .catch((error: Error) => logger.debug('share.tickFailed', { message: error.message }))
        .finally(() => busy.delete(name));
    });
  };
  const timer = setInterval(tick, TICK_MS);
  timer.unref();

  const unitsOf = ({ keeper, holder }: ShareState): number =>
    (keeper ?? holder)?.units(nowMs()) ?? 0;

  return {
    /** Takes one token; resolves with undefined when it was there. */
    take: async (name: string, deadlineAtMs: number) => {
      const state = stateOf(name);
      if (!state) return { code: 'shareUnavailable' as const, retryAfterMs: MS_PER_S };
      return taking.take(state, deadlineAtMs);
    },
    /** Gives back a token of a request that was refused for another reason. */
    putBack: (name: string): void => {
      const state = states.get(name);
      if (state) taking.putBack(state);
    },
    /** Handlers of the messages between VMs. */
    handlers: exchange.handlers,
    /** Whether this VM holds no unit and keeps no ledger. */
    isIdle: (): boolean =>
      [...states.values()].every((state) => !state.keeper && unitsOf(state) === 0),
    /** Hands units and ledgers over to other VMs. */
    handOver: async (): Promise<void> => {
      await Promise.all([...states.values()].map(handOverOne));
    },
    stop: (): void => {
      clearInterval(timer);
      guard.stop();
    },
    describe: () =>
      Object.fromEntries(
        [...states].map(([name, state]) => [
          name,
          { role: state.keeper ? 'keeper' : 'holder', units: unitsOf(state) },
        ]),
      ),
  };
};

export default createShareService;

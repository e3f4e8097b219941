import type { EvacuationPhase } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberDialer from '../seams/memberDialer';
import type MemberReply from '../seams/memberReply';
import createDepartedEndpoints from './createDepartedEndpoints';
import createMemberPool from './createMemberPool';
import type MemberPool from './memberPool';

/** Fraction of the limit that an owner uses: a crashed owner's connections still count for 3 s. */
const OWNER_CONNECTION_RATIO = 0.7;
/** Time until an endpoint without an entry is removed; entries return within 2 s of the store. */
const MISSING_ENTRY_GRACE_MS = 2_500;

interface GroupEndpointsOptions {
  group: string;
  dialer: MemberDialer;
  log: EventLog;
  nowMs(): number;
  onChange(): void;
  onReply(endpointId: string, reply: MemberReply, sentAtMs: number): void;
  /** How far the evacuation of a data centre is. */
  evacuationPhaseOf(dataCentre: string): EvacuationPhase;
  /** Whether an endpoint is the primary, even while that is being replaced. */
  isPrimary(endpointId: string): boolean;
  controlAccount(): string;
}

/** Keeps a pool of connections to each endpoint of a group, by the entries of the endpoints. */
const createGroupEndpoints = (options: GroupEndpointsOptions) => {
  const { group, dialer, log, nowMs, onChange, controlAccount } = options;
  const pools = new Map<string, MemberPool>();
  const missingSinceMs = new Map<string, number>();
  const departed = createDepartedEndpoints(nowMs);
  let maxConnections = 1;

  const createPoolOptions = (id: string) => ({
    dialer,
    log,
    nowMs,
    onChange,
    controlAccount,
    evacuationPhaseOf: options.evacuationPhaseOf,
    isPrimary: () => options.isPrimary(id),
    onReply: (reply: MemberReply, sentAtMs: number) => options.onReply(id, reply, sentAtMs),
  });

  return {
    pools: pools as ReadonlyMap<string, MemberPool>,
    listDeparted: departed.list,
    /** How many connections this VM may open to each endpoint. */
    maxConnections: (): number => maxConnections,
    update: (
      endpoints: readonly GroupEndpoint[],
      connectionLimit: number,
      warmupRatePerS: number,
    ): void => {
      maxConnections = Math.max(1, Math.floor(connectionLimit * OWNER_CONNECTION_RATIO));
      for (const endpoint of endpoints) {
        departed.noteListed(endpoint);
        missingSinceMs.delete(endpoint.id);
        const existingPool = pools.get(endpoint.id);
        const pool = existingPool ?? createMemberPool(endpoint, createPoolOptions(endpoint.id));
        if (!existingPool) {
          log.info('endpoint.found', { group, endpoint: endpoint.id, address: endpoint.address });
          pools.set(endpoint.id, pool);
        } else if (endpoint.isLeaving && !existingPool.endpoint().isLeaving) {
          log.info('endpoint.leaving', { group, endpoint: endpoint.id });
        }
        pool.update(endpoint, maxConnections, warmupRatePerS);
      }
      const listedIds = new Set(endpoints.map(({ id }) => id));
      for (const [id, pool] of pools) {
        if (!listedIds.has(id)) {
          const entryMissingSinceMs = missingSinceMs.get(id) ?? nowMs();
          missingSinceMs.set(id, entryMissingSinceMs);
          if (
            nowMs() - entryMissingSinceMs >= MISSING_ENTRY_GRACE_MS ||
            pool.endpoint().isLeaving
          ) {
            log.info('endpoint.gone', { group, endpoint: id });
            missingSinceMs.delete(id);
            departed.add(pool.endpoint());
            pools.delete(id);
            pool.close();
          }
        }
      }
    },
  };
};

export default createGroupEndpoints;

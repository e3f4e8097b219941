import type { EvacuationPhase } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type MemberPool from './memberPool';
import type OpenTransactions from './openTransactions';

interface EndpointPhasesOptions {
  group: string;
  pools: ReadonlyMap<string, MemberPool>;
  transactions: OpenTransactions;
  log: EventLog;
  nowMs(): number;
  /** Whether an endpoint is the primary, even while that is being replaced. */
  isPrimary(endpointId: string): boolean;
}

/** Applies the evacuation of data centres to the connections and open transactions of a group's endpoints. */
const createEndpointPhases = (options: EndpointPhasesOptions) => {
  const { group, pools, transactions, log, nowMs } = options;
  /** Endpoints that are not in service, and since when they are evacuated as they are now or were before. */
  const known = new Map<string, { phase: EvacuationPhase; sinceMs: number }>();

  const change = (id: string, pool: MemberPool, phase: EvacuationPhase): void => {
    const { dataCentre } = pool.endpoint();
    const sinceMs = known.get(id)?.sinceMs ?? nowMs();
    if (phase === 'inService') {
      known.delete(id);
      pool.noteReturned();
      return;
    }
    known.set(id, { phase, sinceMs });
    if (phase === 'evacuating') {
      const isPrimary = options.isPrimary(id);
      // The primary serves until it is replaced; then all its connections are closed.
      if (!isPrimary) pool.closeIdle();
      log.info('group.evacuating', { group, endpoint: id, dataCentre, isPrimary });
      return;
    }
    const ended = transactions.endAllAt(id);
    pool.closeAll();
    log.info('group.evacuated', {
      group,
      endpoint: id,
      dataCentre,
      tookMs: Math.round(nowMs() - sinceMs),
      transactions: ended,
    });
  };

  return {
    /** Call when an endpoint or an evacuation may have changed. */
    update: (): void => {
      pools.forEach((pool, id) => {
        const phase = pool.phase();
        if (phase !== (known.get(id)?.phase ?? 'inService')) change(id, pool, phase);
      });
      known.forEach((_value, id) => {
        if (!pools.has(id)) known.delete(id);
      });
    },
    /** How many endpoints are in each phase. */
    count: (): Record<EvacuationPhase, number> => {
      const counts = { inService: 0, evacuating: 0, evacuated: 0 };
      pools.forEach((pool) => {
        counts[pool.phase()] += 1;
      });
      return counts;
    },
  };
};

export default createEndpointPhases;

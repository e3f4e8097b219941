import {
  maxPosition,
  type LogPosition,
  type createPositionHistory,
} from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type MemberPool from './memberPool';
import type PendingStatement from './pendingStatement';
import type PooledConnection from './pooledConnection';
import type PrimaryManager from './primaryManager';

/** Subtracted from a route's maximum age: covers clock error, network delay and the read itself. */
const FRESHNESS_MARGIN_MS = 250;
/** Minimum time between two position samples of the primary while reads wait for one. */
const POSITION_SAMPLE_INTERVAL_MS = 200;

interface RequiredPositionOptions {
  group: string;
  pools: ReadonlyMap<string, MemberPool>;
  /** Log positions of the primary, by when it was asked for them. */
  positionHistory: ReturnType<typeof createPositionHistory>;
  primaryManager: Pick<PrimaryManager, 'getAvailablePrimary' | 'isPrimaryOfTenure'>;
  log: EventLog;
  nowMs(): number;
  onChange(): void;
}

/** Finds which log position a read with a maximum age must see, and samples the primary's positions for it. */
const createRequiredPosition = (options: RequiredPositionOptions) => {
  const { group, pools, positionHistory, primaryManager, log, nowMs } = options;
  let isSampling = false;
  let lastSampleAttemptAtMs = Number.NEGATIVE_INFINITY;

  const getRequiredPosition = (statement: PendingStatement): LogPosition | undefined => {
    const { maxAgeMs, notBefore } = statement.call;
    // The positions are those of the primary in the tenure in which it was found.
    if (maxAgeMs === undefined || !primaryManager.isPrimaryOfTenure()) return undefined;
    const leastFreshPosition = positionHistory.findMinFreshPosition(
      nowMs() - Math.max(0, maxAgeMs - FRESHNESS_MARGIN_MS),
    );
    return leastFreshPosition && maxPosition(leastFreshPosition, notBefore);
  };

  const sampleIfStale = (account: string): void => {
    const primary = primaryManager.getAvailablePrimary();
    const pool = primary === undefined ? undefined : pools.get(primary);
    // Failed samples count too: an immediate retry would find the endpoint in the same state.
    const lastSampleAtMs = Math.max(
      positionHistory.getLatestAskedAtMs() ?? 0,
      lastSampleAttemptAtMs,
    );
    if (!pool || isSampling || nowMs() - lastSampleAtMs < POSITION_SAMPLE_INTERVAL_MS) return;
    // The statements of a cold primary report its position too, and a sample would take the place of one.
    if (pool.getLoad(account, true).pausedUntilMs > nowMs()) return;
    isSampling = true;
    lastSampleAttemptAtMs = nowMs();
    let sampleConnection: PooledConnection | undefined;
    const timeoutTimer = setTimeout(
      () => sampleConnection && pool.closeConnection(sampleConnection),
      POSITION_SAMPLE_INTERVAL_MS * 4,
    );
    pool
      .acquire(account, '')
      .then(async (connection) => {
        sampleConnection = connection;
        await pool.send(connection, { kind: 'status' });
        pool.release(connection);
      })
      .catch((error) => {
        if (sampleConnection) pool.closeConnection(sampleConnection);
        log.info('position.unknown', { group, endpoint: primary, reason: String(error) });
        setTimeout(options.onChange, POSITION_SAMPLE_INTERVAL_MS);
      })
      .finally(() => {
        clearTimeout(timeoutTimer);
        isSampling = false;
        options.onChange();
      });
  };

  return {
    /** The position that a read must see; undefined while the primary's position is not known. */
    find: getRequiredPosition,
    /** Queries the primary's log position, as the account, unless a reply or an attempt is recent enough. */
    sampleIfStale,
  };
};

export default createRequiredPosition;

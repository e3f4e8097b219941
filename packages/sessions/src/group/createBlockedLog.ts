import type EventLog from '../seams/eventLog';
import type MemberPool from './memberPool';

/** While the replacement of an evacuated primary is blocked, this often a line says why. */
const INTERVAL_MS = 5_000;

interface BlockedLogOptions {
  group: string;
  pools: ReadonlyMap<string, MemberPool>;
  log: EventLog;
  nowMs(): number;
}

/** Logs why an evacuated primary is not replaced: at once, when the reason changes, and from time to time. */
const createBlockedLog = ({ group, pools, log, nowMs }: BlockedLogOptions) => {
  let last: { key: string; loggedAtMs: number } | undefined;

  const explainMissingCandidate = (): string => {
    const all = [...pools.values()];
    const elsewhere = all.filter((pool) => pool.phase() === 'inService');
    if (elsewhere.length === 0) return 'noEndpointElsewhere';
    const staying = elsewhere.filter((pool) => pool.use().isCandidate);
    if (staying.length === 0) return 'endpointsElsewhereAreLeaving';
    return staying.every((pool) => pool.isDown()) ? 'endpointsElsewhereAreDown' : 'noAnswer';
  };

  return (
    endpoint: string | undefined,
    candidate?: { id: string; reason: 'candidateBehind' },
  ): void => {
    const reason = candidate?.reason ?? explainMissingCandidate();
    const key = JSON.stringify([endpoint, reason]);
    if (last?.key === key && nowMs() - last.loggedAtMs < INTERVAL_MS) return;
    last = { key, loggedAtMs: nowMs() };
    log.warn('group.evacuationBlocked', { group, endpoint, reason, candidate: candidate?.id });
  };
};

export default createBlockedLog;

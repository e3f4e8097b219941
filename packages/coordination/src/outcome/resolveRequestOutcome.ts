import type RequestLookupResult from './requestLookupResult';

type RequestResolution =
  | { kind: 'ran'; result: string | null }
  | { kind: 'cancelled' }
  | { kind: 'otherStatement' }
  | { kind: 'open' };

/**
 * Determines the outcome of a request from a lookup of its row. Only a row that a majority
 * holds is conclusive, as any later primary has it too. A cancellation held by a majority
 * rules out a later commit, as both rows would have the same key. Otherwise the outcome is
 * `open`: unknown until a later lookup.
 */
const resolveRequestOutcome = (
  finding: RequestLookupResult,
  fingerprint: string,
): RequestResolution => {
  if (finding.kind === 'unreachable' || !finding.isHeld) return { kind: 'open' };
  if (finding.kind === 'cancelledNow') return { kind: 'cancelled' };
  const { record } = finding;
  if (record.fingerprint !== null && record.fingerprint !== fingerprint) {
    return { kind: 'otherStatement' };
  }
  if (record.state === 'cancelled') return { kind: 'cancelled' };
  return { kind: 'ran', result: record.result };
};

export default resolveRequestOutcome;

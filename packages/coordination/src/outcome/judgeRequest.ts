import type RequestFinding from './requestFinding';

type RequestJudgement =
  | { kind: 'ran'; result: string | null }
  | { kind: 'cancelled' }
  | { kind: 'otherStatement' }
  | { kind: 'open' };

/**
 * Judges a request by a lookup. Only what a majority holds counts: any later primary
 * has it too. A held cancellation means that the id's effect can never commit, as
 * both rows would have the same key. Everything else leaves the outcome open.
 */
const judgeRequest = (finding: RequestFinding, fingerprint: string): RequestJudgement => {
  if (finding.kind === 'unreachable' || !finding.isHeld) return { kind: 'open' };
  if (finding.kind === 'cancelledNow') return { kind: 'cancelled' };
  const { record } = finding;
  if (record.fingerprint !== null && record.fingerprint !== fingerprint) {
    return { kind: 'otherStatement' };
  }
  if (record.state === 'cancelled') return { kind: 'cancelled' };
  return { kind: 'ran', result: record.result };
};

export default judgeRequest;

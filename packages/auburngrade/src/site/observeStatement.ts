import type { StatementObservation } from '@auburngrade/sessions';
import type createRequestMetrics from '../metrics/createRequestMetrics';

const MS_PER_S = 1_000;
/** Refusal codes after which the statement may have taken effect. */
const UNCERTAIN_CODES: ReadonlySet<string> = new Set(['inDoubt', 'failed', 'timedOut']);

/** Records a statement in the request metrics; the database is reported as the profile. */
const observeStatement = (
  { requests, latencyS }: ReturnType<typeof createRequestMetrics>,
  { database, account, isInTransaction, result, tookMs }: StatementObservation,
): void => {
  const labels = { profile: database, account, mode: isInTransaction ? 'transaction' : 'single' };
  if (result.kind === 'complete') {
    requests.inc({ ...labels, verdict: 'ran', code: '' });
    latencyS.observe(labels, tookMs / MS_PER_S);
  } else {
    const verdict = UNCERTAIN_CODES.has(result.code) ? 'mayHaveRun' : 'notRun';
    requests.inc({ ...labels, verdict, code: result.code });
  }
};

export default observeStatement;

import type { StatementObservation } from '@auburngrade/sessions';
import type createRequestMetrics from '../metrics/createRequestMetrics';

const MS_PER_S = 1_000;
/** Refusals that do not promise that the statement had no effect. */
const UNSURE: ReadonlySet<string> = new Set(['inDoubt', 'failed', 'timedOut']);

/** Counts a statement under the names that the product's own interfaces use; a database is a profile. */
const observeStatement = (
  { requests, latencyS }: ReturnType<typeof createRequestMetrics>,
  { database, account, isInTransaction, result, tookMs }: StatementObservation,
): void => {
  const route = { profile: database, account, mode: isInTransaction ? 'transaction' : 'single' };
  if (result.kind === 'complete') {
    requests.inc({ ...route, verdict: 'ran', code: '' });
    latencyS.observe(route, tookMs / MS_PER_S);
  } else {
    const verdict = UNSURE.has(result.code) ? 'mayHaveRun' : 'notRun';
    requests.inc({ ...route, verdict, code: result.code });
  }
};

export default observeStatement;

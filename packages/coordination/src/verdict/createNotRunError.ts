import type Refusal from './refusal';
import RefusalError from './refusalError';

/** Creates the error for a request that had no effect and can have none later. */
const createNotRunError = (
  code: Refusal['code'],
  message: string,
  retryAfterMs?: number,
): RefusalError => new RefusalError({ verdict: 'notRun', code, message, retryAfterMs });

export default createNotRunError;

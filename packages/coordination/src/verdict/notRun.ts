import type Refusal from './refusal';
import RefusalError from './refusalError';

/** Builds the error for a request that had no effect and can have none later. */
const notRun = (code: Refusal['code'], message: string, retryAfterMs?: number): RefusalError =>
  new RefusalError({ verdict: 'notRun', code, message, retryAfterMs });

export default notRun;

import type Refusal from './refusal';
import RefusalError from './refusalError';

/** Creates the error for a request that may or may not have taken effect. */
const createMayHaveRunError = (code: Refusal['code'], message: string): RefusalError =>
  new RefusalError({ verdict: 'mayHaveRun', code, message });

export default createMayHaveRunError;

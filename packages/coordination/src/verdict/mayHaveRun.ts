import type Refusal from './refusal';
import RefusalError from './refusalError';

/** Builds the error for a request whose effect could not be established. */
const mayHaveRun = (code: Refusal['code'], message: string): RefusalError =>
  new RefusalError({ verdict: 'mayHaveRun', code, message });

export default mayHaveRun;

import type Refusal from './refusal';
import RefusalError from './refusalError';

/** Turns any thrown value into a Refusal; an unforeseen error is never reported as not run. */
const toRefusal = (error: unknown): Refusal => {
  if (error instanceof RefusalError) return error.refusal;
  const message = error instanceof Error ? error.message : String(error);
  return { verdict: 'mayHaveRun', code: 'internal', message };
};

export default toRefusal;

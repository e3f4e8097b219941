import type Refusal from './refusal';
import RefusalError from './refusalError';

/** Converts any thrown value to a Refusal; unexpected errors are never reported as `notRun`. */
const toRefusal = (error: unknown): Refusal => {
  if (error instanceof RefusalError) return error.refusal;
  const message = error instanceof Error ? error.message : String(error);
  return { verdict: 'mayHaveRun', code: 'internal', message };
};

export default toRefusal;

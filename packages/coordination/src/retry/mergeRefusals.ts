import type Refusal from '../verdict/refusal';

/**
 * The refusal of a request after several attempts: once an attempt may have run, a later
 * attempt that did not run proves nothing about it.
 */
const mergeRefusals = (previous: Refusal | undefined, next: Refusal): Refusal => {
  if (previous?.verdict !== 'mayHaveRun' || next.verdict === 'mayHaveRun') return next;
  return { ...next, verdict: 'mayHaveRun', code: 'outcomeUnknown' };
};

export default mergeRefusals;

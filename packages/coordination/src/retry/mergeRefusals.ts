import type Refusal from '../verdict/refusal';

/** Given only after a lookup that settles the fate of the request's id for good. */
const PROOF_CODES: ReadonlySet<Refusal['code']> = new Set([
  'transactionAborted',
  'duplicateRequest',
]);

/**
 * The refusal of a request after several attempts: once an attempt may have run, a later
 * attempt that did not run proves nothing about it, unless it looked up the request's id.
 */
const mergeRefusals = (previous: Refusal | undefined, next: Refusal): Refusal => {
  if (previous?.verdict !== 'mayHaveRun' || next.verdict === 'mayHaveRun') return next;
  if (PROOF_CODES.has(next.code)) return next;
  return { ...next, verdict: 'mayHaveRun', code: 'outcomeUnknown' };
};

export default mergeRefusals;

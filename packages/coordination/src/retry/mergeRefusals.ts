import type Refusal from '../verdict/refusal';

/** Codes given only after a lookup of the request id has determined the outcome for good. */
const CONCLUSIVE_CODES: ReadonlySet<Refusal['code']> = new Set([
  'transactionAborted',
  'duplicateRequest',
]);

/**
 * Returns the refusal of a request after another refused attempt. Once an attempt may have run, a
 * later attempt that did not run says nothing about it, so the verdict stays `mayHaveRun`
 * unless the later attempt looked up the request id.
 */
const mergeRefusals = (previous: Refusal | undefined, next: Refusal): Refusal => {
  if (previous?.verdict !== 'mayHaveRun' || next.verdict === 'mayHaveRun') return next;
  if (CONCLUSIVE_CODES.has(next.code)) return next;
  return { ...next, verdict: 'mayHaveRun', code: 'outcomeUnknown' };
};

export default mergeRefusals;

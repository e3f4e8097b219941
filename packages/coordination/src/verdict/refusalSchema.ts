import { z } from 'zod';

/** Reasons for which a request is refused or fails; each is a tag of the error union. */
const refusalCodes = [
  'badRequest',
  'statementTooLarge',
  'badSessionToken',
  'badDeadline',
  'unauthenticated',
  'unknownProfile',
  'accountNotAllowed',
  'groupNotAllowed',
  'unknownGroup',
  'rateExceeded',
  'shareUnavailable',
  'queueFull',
  'queueTimeout',
  'deadlineExceeded',
  'noFreshEndpoint',
  'noPrimary',
  'noConnection',
  'keyNotVouched',
  'configurationMissing',
  'peerUnreachable',
  'shuttingDown',
  'statementFailed',
  'connectionLost',
  'outcomeUnknown',
  'notAcknowledged',
  'duplicateRequest',
  'transactionAborted',
  'conflict',
  'platformUnavailable',
  'internal',
] as const;

/** A typed refusal: `verdict` is `notRun` only when the request can have no effect any more. */
const refusalSchema = z.object({
  verdict: z.enum(['notRun', 'mayHaveRun']),
  code: z.enum(refusalCodes),
  message: z.string(),
  retryAfterMs: z.number().int().nonnegative().optional(),
});

export default refusalSchema;

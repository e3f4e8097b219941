import { z } from 'zod';

/** Error codes: the reason for which a request was refused or failed. */
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
  'dataCentreEvacuated',
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

/** Refusal or failure: `verdict` is `notRun` only if the request had no effect and can have none later. */
const refusalSchema = z.object({
  verdict: z.enum(['notRun', 'mayHaveRun']),
  code: z.enum(refusalCodes),
  message: z.string(),
  retryAfterMs: z.number().int().nonnegative().optional(),
});

export default refusalSchema;

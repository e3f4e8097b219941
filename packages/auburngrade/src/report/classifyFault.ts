import type { Refusal } from '@auburngrade/coordination';
import type FaultKind from './faultKind';

const CALLER_CODES = new Set<string>([
  'badRequest',
  'statementTooLarge',
  'badSessionToken',
  'badDeadline',
  'unauthenticated',
  'unknownProfile',
  'accountNotAllowed',
  'groupNotAllowed',
  'unknownGroup',
  'statementFailed',
  'duplicateRequest',
  'conflict',
] satisfies Refusal['code'][]);
const OVER_RATE_CODE: Refusal['code'] = 'rateExceeded';

/** Says whose fault a refusal code is; a code that is not known counts as the system's own. */
const classifyFault = (code: string): FaultKind => {
  if (code === OVER_RATE_CODE) return 'overRate';
  return CALLER_CODES.has(code) ? 'caller' : 'own';
};

export default classifyFault;

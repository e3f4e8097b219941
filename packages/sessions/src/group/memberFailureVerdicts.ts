import type { Verdict } from '@auburngrade/coordination';
import type MemberFailure from '../seams/memberFailure';

/**
 * Whether a statement that an endpoint answered with a failure may have taken effect. Used for every statement, commit
 * and retry; no caller is promised that nothing is kept unless the verdict is `notRun`.
 */
const memberFailureVerdicts: Record<MemberFailure, Verdict> = {
  busy: 'notRun',
  noStatement: 'notRun',
  lagging: 'notRun',
  readOnly: 'notRun',
  misrouted: 'notRun',
  connectionLimit: 'notRun',
  failed: 'ran',
  timedOut: 'ran',
  other: 'mayHaveRun',
};

export default memberFailureVerdicts;

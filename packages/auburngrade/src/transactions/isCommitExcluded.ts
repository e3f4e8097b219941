import { EndpointError } from '@auburngrade/endpoint';

/** Classes of SQLSTATE codes that undo a transaction: integrity constraints, an aborted transaction, a rollback. */
const UNDONE_CLASSES = ['23', '25', '40'];
/** Of class 40: statement completion unknown. */
const COMPLETION_UNKNOWN = '40003';

/**
 * Whether a commit that ended with this error has certainly not taken effect. The commit is followed by other
 * statements in one message, so that an error with any other code may have come after it.
 * @param refusedTermSqlState Code of an endpoint that refused the commit's term.
 */
const isCommitExcluded = (error: unknown, refusedTermSqlState: string): boolean => {
  if (!(error instanceof EndpointError)) return false;
  if (error.kind === 'notSent') return true;
  if (error.kind !== 'statementFailed' || error.sqlState === undefined) return false;
  const { sqlState } = error;
  const isUndone =
    UNDONE_CLASSES.some((prefix) => sqlState.startsWith(prefix)) && sqlState !== COMPLETION_UNKNOWN;
  return isUndone || sqlState === refusedTermSqlState;
};

export default isCommitExcluded;

import type StatementResult from '../seams/statementResult';

/** The outcome of a group call; `notOwner`: nothing ran, since this VM does not own the group. */
type CallOutcome = StatementResult | { kind: 'notOwner' };

export default CallOutcome;

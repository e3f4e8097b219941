import type StatementResult from '../seams/statementResult';

/** The outcome of a group call; `notOwner` means that nothing ran and another VM owns the group. */
type CallOutcome = StatementResult | { kind: 'notOwner' };

export default CallOutcome;

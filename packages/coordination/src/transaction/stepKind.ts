/** Kind of a step of an interactive transaction. */
type StepKind = 'begin' | 'statement' | 'commit' | 'rollback';

export default StepKind;

import type StatementResult from './statementResult';

/** A statement that a group answered, for metrics. */
interface StatementObservation {
  database: string;
  account: string;
  isInTransaction: boolean;
  result: StatementResult;
  /** From its arrival at this VM to its answer. */
  tookMs: number;
}

export default StatementObservation;

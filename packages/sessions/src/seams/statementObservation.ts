import type StatementResult from './statementResult';

/** A completed or refused statement, reported for metrics. */
interface StatementObservation {
  database: string;
  account: string;
  isInTransaction: boolean;
  result: StatementResult;
  /** Time from its arrival at this VM to its result. */
  tookMs: number;
}

export default StatementObservation;

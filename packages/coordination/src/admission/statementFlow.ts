import type ArrivalCounts from './arrivalCounts';

/** Waiting statements with the same target, time limit and priority. */
interface StatementFlow {
  key: string;
  targetMs: number;
  limitMs: number;
  counts: ArrivalCounts;
}

export default StatementFlow;

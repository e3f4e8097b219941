import type TermRecord from '../configuration/termRecord';

/**
 * Returns the lowest start position of any term after `term`, infinity if there is none. Log
 * entries of `term` beyond it were never acknowledged and are not part of the group's history.
 */
const findTermEndPosition = (term: number, record: TermRecord): number =>
  Math.min(
    Number.POSITIVE_INFINITY,
    ...record.history
      .filter((entry) => entry.term > term)
      .map(({ startPosition }) => startPosition),
  );

export default findTermEndPosition;

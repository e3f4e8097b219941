import type TermRecord from '../configuration/termRecord';

/**
 * The lowest position at which a term after `term` started; log entries of `term`
 * beyond it were never acknowledged and are not part of the group's history.
 */
const earliestLaterStart = (term: number, record: TermRecord): number =>
  Math.min(
    Number.POSITIVE_INFINITY,
    ...record.history
      .filter((entry) => entry.term > term)
      .map(({ startPosition }) => startPosition),
  );

export default earliestLaterStart;

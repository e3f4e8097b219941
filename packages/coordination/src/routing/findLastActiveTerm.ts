import type TermRecord from '../configuration/termRecord';

/**
 * Returns the last term in which writes were accepted: the record's term, or the one before it
 * while a promotion is in progress. 0 when no term has been active.
 */
const findLastActiveTerm = (record: TermRecord): number =>
  record.state === 'active'
    ? record.term
    : Math.max(0, ...record.history.map(({ term }) => term).filter((term) => term < record.term));

export default findLastActiveTerm;

import type TermRecord from '../configuration/termRecord';

/** The last term that took writes: while a promotion runs, the one before the record's. */
const servingTerm = (record: TermRecord): number =>
  record.state === 'active'
    ? record.term
    : Math.max(0, ...record.history.map(({ term }) => term).filter((term) => term < record.term));

export default servingTerm;

import type LogPosition from './logPosition';

/** Compares by term, then by number: positive if `a` is ahead of `b`, 0 if they are equal. */
const comparePositions = (a: LogPosition, b: LogPosition): number =>
  a.term === b.term ? a.number - b.number : a.term - b.term;

export default comparePositions;

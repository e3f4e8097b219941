import type LogPosition from './logPosition';

/** Positive when `a` is ahead of `b`. */
const comparePositions = (a: LogPosition, b: LogPosition): number =>
  a.term === b.term ? a.number - b.number : a.term - b.term;

export default comparePositions;

import comparePositions from './comparePositions';
import type LogPosition from './logPosition';

/** The position that is ahead; one that is missing is behind all others. */
const laterPosition = (
  a: LogPosition | undefined,
  b: LogPosition | undefined,
): LogPosition | undefined => {
  if (!a || !b) return a ?? b;
  return comparePositions(a, b) >= 0 ? a : b;
};

export default laterPosition;

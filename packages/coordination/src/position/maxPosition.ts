import comparePositions from './comparePositions';
import type LogPosition from './logPosition';

/** Returns the greater position; a missing one is less than any other. */
const maxPosition = (
  a: LogPosition | undefined,
  b: LogPosition | undefined,
): LogPosition | undefined => {
  if (!a || !b) return a ?? b;
  return comparePositions(a, b) >= 0 ? a : b;
};

export default maxPosition;

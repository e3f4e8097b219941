import { maxPosition, type LogPosition } from '@auburngrade/coordination';

/** A former owner acknowledges commits for at most this long after it handed the group over. */
const FORMER_OWNER_MS = 1_200;

/**
 * Tracks a position of the primary's log up to which all acknowledged commits lie: the owner sees the primary's
 * position with each reply before it acknowledges the commit, and former owners end soon after a change of owner.
 */
const createAcknowledgedPosition = () => {
  let tenure: string | undefined;
  let tenureSinceMs = 0;
  let position: LogPosition | undefined;
  let askedAtMs = Number.NEGATIVE_INFINITY;

  const record = (seen: LogPosition, seenAskedAtMs: number): void => {
    position = maxPosition(position, seen);
    askedAtMs = Math.max(askedAtMs, seenAskedAtMs);
  };

  return {
    /** Call when the primary is found. What lies beyond the position of a promoted one was given up. */
    start: (
      found: { tenure: string | undefined; position: LogPosition; askedAtMs: number },
      isPromoted: boolean,
    ): void => {
      if (found.tenure !== tenure) {
        tenure = found.tenure;
        tenureSinceMs = found.askedAtMs;
        position = undefined;
        askedAtMs = Number.NEGATIVE_INFINITY;
      }
      if (isPromoted) position = undefined;
      record(found.position, found.askedAtMs);
    },
    /** Call with each position that the primary replies, in the tenure in which it was found. */
    record,
    /** The last position seen, whether or not all acknowledged commits are known to lie before it. */
    lastSeen: (): LogPosition | undefined => position,
    /** Undefined while a former owner may have acknowledged commits beyond what was seen since. */
    find: (currentTenure: string | undefined): LogPosition | undefined =>
      tenure === currentTenure && askedAtMs >= tenureSinceMs + FORMER_OWNER_MS
        ? position
        : undefined,
  };
};

export default createAcknowledgedPosition;

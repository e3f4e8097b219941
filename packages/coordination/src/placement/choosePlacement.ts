import comparePositions from '../position/comparePositions';
import type LogPosition from '../position/logPosition';
import type MemberLoad from './memberLoad';

interface Placement {
  /** Only the primary can serve it. */
  needsPrimary: boolean;
  /** Position that a replica's log must hold. */
  notBefore: LogPosition | undefined;
  excluded: ReadonlySet<string>;
}

/** One statement more than the slots hides the way to the endpoint and back. */
const PIPELINED_STATEMENTS = 1;
/** Weight of the primary's load for reads: writes have no other place to go. */
const PRIMARY_READ_COST = 1.5;
/** Cost of opening a connection, in slots: it occupies one for about half of a statement. */
const CONNECT_COST = 0.5;

const hasRoom = ({ underWay, slots, canConnect, isPausedUntilMs }: MemberLoad, nowMs: number) =>
  underWay < slots + PIPELINED_STATEMENTS && canConnect && isPausedUntilMs <= nowMs;

const costOf = (member: MemberLoad, placement: Placement): number => {
  const load = (member.underWay + 1) / Math.max(1, member.slots);
  const lags =
    placement.notBefore &&
    !member.isPrimary &&
    (!member.position || comparePositions(member.position, placement.notBefore) < 0);
  return (
    load *
      member.latencyMs *
      (member.isPrimary && !placement.needsPrimary ? PRIMARY_READ_COST : 1) +
    (member.hasIdleConnection ? 0 : (CONNECT_COST * member.latencyMs) / Math.max(1, member.slots)) +
    (lags ? member.latencyMs : 0)
  );
};

/**
 * Chooses the endpoint for a statement among those with a free slot: the one with the least load
 * for its speed, a replica before the primary, one that has caught up before one that lags.
 *
 * Load pattern: reads above what the primary alone can serve, replicas far behind, a slow endpoint.
 */
const choosePlacement = (
  members: readonly MemberLoad[],
  placement: Placement,
  nowMs: number,
): MemberLoad | undefined => {
  const able = members.filter(
    (member) =>
      !member.isDown &&
      !placement.excluded.has(member.id) &&
      (member.isPrimary || (!placement.needsPrimary && placement.notBefore && !member.isLeaving)) &&
      hasRoom(member, nowMs),
  );
  return able.reduce<MemberLoad | undefined>(
    (best, member) =>
      best && costOf(best, placement) <= costOf(member, placement) ? best : member,
    undefined,
  );
};

export default choosePlacement;

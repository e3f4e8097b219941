import comparePositions from '../position/comparePositions';
import type LogPosition from '../position/logPosition';
import type MemberLoad from './memberLoad';

interface StatementPlacement {
  /** Only the primary can serve the statement. */
  needsPrimary: boolean;
  /** Position the statement must see: lagging replicas cost more; if undefined, none is eligible. */
  notBefore: LogPosition | undefined;
  /** Ids of endpoints not to use. */
  excluded: ReadonlySet<string>;
}

/** One statement beyond the slots hides the network round trip to the endpoint. */
const PIPELINED_STATEMENTS = 1;
/** Factor on the primary's cost for reads: only the primary can serve writes. */
const PRIMARY_READ_COST_FACTOR = 1.5;
/** Cost of opening a connection, in slots: it occupies a slot for about half a statement. */
const CONNECT_COST_SLOTS = 0.5;

const canAcceptStatement = (
  { activeStatements, slots, canConnect, pausedUntilMs }: MemberLoad,
  nowMs: number,
) => activeStatements < slots + PIPELINED_STATEMENTS && canConnect && pausedUntilMs <= nowMs;

const estimateCost = (member: MemberLoad, placement: StatementPlacement): number => {
  const load = (member.activeStatements + 1) / Math.max(1, member.slots);
  const isLagging =
    placement.notBefore &&
    !member.isPrimary &&
    (!member.position || comparePositions(member.position, placement.notBefore) < 0);
  return (
    load *
      member.latencyMs *
      (member.isPrimary && !placement.needsPrimary ? PRIMARY_READ_COST_FACTOR : 1) +
    (member.hasIdleConnection
      ? 0
      : (CONNECT_COST_SLOTS * member.latencyMs) / Math.max(1, member.slots)) +
    (isLagging ? member.latencyMs : 0)
  );
};

/**
 * Chooses the endpoint for a statement among those with a free slot, `undefined` if there is none.
 * The lowest estimated cost wins: load times latency, with extra cost for a read on the primary,
 * a new connection and a lagging replica.
 *
 * Load pattern: reads beyond the primary's capacity, replicas far behind, a slow endpoint.
 */
const chooseStatementEndpoint = (
  members: readonly MemberLoad[],
  placement: StatementPlacement,
  nowMs: number,
): MemberLoad | undefined => {
  const candidates = members.filter(
    (member) =>
      !member.isDown &&
      !placement.excluded.has(member.id) &&
      (member.isPrimary || (!placement.needsPrimary && placement.notBefore && !member.isLeaving)) &&
      canAcceptStatement(member, nowMs),
  );
  return candidates.reduce<MemberLoad | undefined>(
    (best, member) =>
      best && estimateCost(best, placement) <= estimateCost(member, placement) ? best : member,
    undefined,
  );
};

export default chooseStatementEndpoint;

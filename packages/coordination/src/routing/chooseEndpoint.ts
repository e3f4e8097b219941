import type MemberStatus from '../acknowledgement/memberStatus';
import computeMaxMemberAgeMs from '../freshness/computeMaxMemberAgeMs';
import isFreshForToken from './isFreshForToken';
import type ReadContext from './readContext';
import type ReadTarget from './readTarget';
import findLastActiveTerm from './findLastActiveTerm';

/** A member whose last answered status poll is older than this is tried after the others. */
const STALE_STATUS_AGE_MS = 1_500;

const isWithinMaxAge = (status: MemberStatus, context: ReadContext): boolean => {
  const { freshness, watermarks, record, nowMs } = context;
  if (freshness.kind !== 'maxAge') return true;
  return computeMaxMemberAgeMs(status, watermarks, record, nowMs) <= freshness.maxAgeMs;
};

const isWithinMaxLag = (
  status: MemberStatus,
  { watermarks, maxLagPositions }: ReadContext,
): boolean => {
  const latestWatermark = watermarks.at(-1);
  return !latestWatermark || status.position + maxLagPositions >= latestWatermark.position;
};

const isFreshReplica = (status: MemberStatus, context: ReadContext): boolean =>
  status.member !== context.record.primary &&
  context.members.some(
    ({ name, state, dataCentre }) =>
      name === status.member && state === 'active' && !context.evacuatedDataCentres.has(dataCentre),
  ) &&
  isFreshForToken(status, context.sessionPosition, context.record) &&
  isWithinMaxLag(status, context) &&
  isWithinMaxAge(status, context);

const computeRank = (status: MemberStatus, context: ReadContext): number => {
  const isStatusStale = context.nowMs - status.askedAtMs > STALE_STATUS_AGE_MS;
  const member = context.members.find(({ name }) => name === status.member);
  const isRemote = member?.dataCentre !== context.dataCentre;
  return (context.avoided.has(status.member) || isStatusStale ? 2 : 0) + (isRemote ? 1 : 0);
};

const rotate = <Item>(items: readonly Item[], random: number): Item[] => {
  const start = Math.floor(random * items.length);
  return [...items.slice(start), ...items.slice(0, start)];
};

const listFreshReplicas = (context: ReadContext): string[] => {
  const freshStatuses = context.statuses.filter((status) => isFreshReplica(status, context));
  return rotate(freshStatuses, context.random)
    .map((status) => ({ member: status.member, rank: computeRank(status, context) }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ member }) => member);
};

/**
 * Chooses the members that may serve a read, those in this VM's data centre first. The
 * position in a status poll is a lower bound of what the replica has applied when the
 * statement runs: a log is truncated only under a later term, and a member at a later term
 * refuses the statement.
 */
const chooseEndpoint = (context: ReadContext): ReadTarget => {
  const { record, sessionPosition, freshness } = context;
  if (sessionPosition && sessionPosition.term > findLastActiveTerm(record))
    return { kind: 'recordBehind' };
  const primary = record.state === 'active' ? record.primary : undefined;
  if (freshness.kind === 'primary') return { kind: 'notFresh', primary };
  const members = listFreshReplicas(context);
  return members.length > 0 ? { kind: 'serve', members } : { kind: 'notFresh', primary };
};

export default chooseEndpoint;

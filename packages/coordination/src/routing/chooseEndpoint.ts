import type MemberStatus from '../acknowledgement/memberStatus';
import memberAgeMs from '../freshness/memberAgeMs';
import isFreshForToken from './isFreshForToken';
import type ReadState from './readState';
import type ReadTarget from './readTarget';
import servingTerm from './servingTerm';

/** A member that has not answered a poll for this long is tried after the others. */
const SILENT_AFTER_MS = 1_500;

const isYoungEnough = (status: MemberStatus, state: ReadState): boolean => {
  const { freshness, watermarks, record, nowMs } = state;
  if (freshness.kind !== 'maxAge') return true;
  return memberAgeMs(status, watermarks, record, nowMs) <= freshness.maxAgeMs;
};

const isWithinLag = (status: MemberStatus, { watermarks, maxLagPositions }: ReadState): boolean => {
  const last = watermarks.at(-1);
  return !last || status.position + maxLagPositions >= last.position;
};

const isFreshReplica = (status: MemberStatus, state: ReadState): boolean =>
  status.member !== state.record.primary &&
  state.members.some(({ name, state: phase }) => name === status.member && phase === 'active') &&
  isFreshForToken(status, state.tokenEntry, state.record) &&
  isWithinLag(status, state) &&
  isYoungEnough(status, state);

const rankOf = (status: MemberStatus, state: ReadState): number => {
  const isSilent = state.nowMs - status.askedAtMs > SILENT_AFTER_MS;
  const member = state.members.find(({ name }) => name === status.member);
  const isRemote = member?.dataCentre !== state.dataCentre;
  return (state.avoided.has(status.member) || isSilent ? 2 : 0) + (isRemote ? 1 : 0);
};

const rotate = <Item>(items: readonly Item[], random: number): Item[] => {
  const start = Math.floor(random * items.length);
  return [...items.slice(start), ...items.slice(0, start)];
};

const freshReplicas = (state: ReadState): string[] => {
  const fresh = state.statuses.filter((status) => isFreshReplica(status, state));
  return rotate(fresh, state.random)
    .map((status) => ({ member: status.member, rank: rankOf(status, state) }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ member }) => member);
};

/**
 * Chooses the members that may serve a read, the VM's own data centre first. A status poll
 * is a lower bound of what a replica has applied when the statement runs later: a log is
 * cut back only under a later term, and a member at a later term refuses the statement.
 */
const chooseEndpoint = (state: ReadState): ReadTarget => {
  const { record, tokenEntry, freshness } = state;
  if (tokenEntry && tokenEntry.term > servingTerm(record)) return { kind: 'recordBehind' };
  const primary = record.state === 'active' ? record.primary : undefined;
  if (freshness.kind === 'primary') return { kind: 'notFresh', primary };
  const members = freshReplicas(state);
  return members.length > 0 ? { kind: 'serve', members } : { kind: 'notFresh', primary };
};

export default chooseEndpoint;

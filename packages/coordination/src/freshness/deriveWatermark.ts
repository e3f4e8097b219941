import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import type Watermark from './watermark';

/**
 * Derives a watermark from status polls: the primary's position, dated at the latest time at
 * or after which the primary and a majority of the voters were polled and reported no fence
 * of a later term. A write acknowledged earlier under a later term would have fenced at least
 * one voter of that majority. Undefined if there is no such majority or no active primary.
 */
const deriveWatermark = (
  statuses: readonly MemberStatus[],
  memberNames: readonly string[],
  record: TermRecord,
): Watermark | undefined => {
  if (record.state !== 'active') return undefined;
  const primary = statuses.find(({ member }) => member === record.primary);
  if (primary?.role !== 'primary' || primary.fencedTerm !== record.term) return undefined;
  const voters = record.voters ?? memberNames;
  const voterAskedAtMs = statuses
    .filter(({ member, fencedTerm }) => voters.includes(member) && fencedTerm <= record.term)
    .map((status) => status.askedAtMs)
    .sort((a, b) => b - a);
  const majorityAskedAtMs = voterAskedAtMs[Math.floor(voters.length / 2)];
  if (majorityAskedAtMs === undefined) return undefined;
  return {
    askedAtMs: Math.min(primary.askedAtMs, majorityAskedAtMs),
    term: record.term,
    position: primary.position,
  };
};

export default deriveWatermark;

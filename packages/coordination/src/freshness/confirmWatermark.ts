import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import type Watermark from './watermark';

/**
 * Derives a watermark from status polls: the primary's position, dated at the latest time
 * since which the primary and a majority of the voters answered without a later fence.
 * A write acknowledged before that time under a later term would have left its fence on
 * one of that majority. Undefined when no majority vouches for the record's term.
 */
const confirmWatermark = (
  statuses: readonly MemberStatus[],
  memberNames: readonly string[],
  record: TermRecord,
): Watermark | undefined => {
  if (record.state !== 'active') return undefined;
  const primary = statuses.find(({ member }) => member === record.primary);
  if (primary?.role !== 'primary' || primary.fencedTerm !== record.term) return undefined;
  const voters = record.voters ?? memberNames;
  const askedAtMs = statuses
    .filter(({ member, fencedTerm }) => voters.includes(member) && fencedTerm <= record.term)
    .map((status) => status.askedAtMs)
    .sort((a, b) => b - a);
  const majorityAskedAtMs = askedAtMs[Math.floor(voters.length / 2)];
  if (majorityAskedAtMs === undefined) return undefined;
  return {
    askedAtMs: Math.min(primary.askedAtMs, majorityAskedAtMs),
    term: record.term,
    position: primary.position,
  };
};

export default confirmWatermark;

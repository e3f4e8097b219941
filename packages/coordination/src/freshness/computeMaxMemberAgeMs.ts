import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import isFreshForToken from '../routing/isFreshForToken';
import type Watermark from './watermark';

/** Returns an upper bound of the age of a member's data; infinity if it reached no watermark. */
const computeMaxMemberAgeMs = (
  status: MemberStatus,
  watermarks: readonly Watermark[],
  record: TermRecord,
  nowMs: number,
): number => {
  const reachedWatermark = watermarks.findLast((watermark) =>
    isFreshForToken(status, watermark, record),
  );
  return reachedWatermark ? nowMs - reachedWatermark.askedAtMs : Number.POSITIVE_INFINITY;
};

export default computeMaxMemberAgeMs;

import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import isFreshForToken from '../routing/isFreshForToken';
import type Watermark from './watermark';

/** An upper bound of the age of a member's data; infinite when no watermark vouches for it. */
const memberAgeMs = (
  status: MemberStatus,
  watermarks: readonly Watermark[],
  record: TermRecord,
  nowMs: number,
): number => {
  const reached = watermarks.findLast((watermark) => isFreshForToken(status, watermark, record));
  return reached ? nowMs - reached.askedAtMs : Number.POSITIVE_INFINITY;
};

export default memberAgeMs;

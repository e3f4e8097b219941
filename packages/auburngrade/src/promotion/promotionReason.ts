/** Why a group's primary or voters change: a detected fault, a resumed claim or a new document. */
type PromotionReason =
  'silent' | 'unconfirmed' | 'demoted' | 'takeOver' | 'leaving' | 'evacuated' | 'members';

export default PromotionReason;

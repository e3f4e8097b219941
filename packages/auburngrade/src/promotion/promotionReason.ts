/** Why a group's primary or its voters change. */
type PromotionReason = 'silent' | 'unconfirmed' | 'demoted' | 'takeOver' | 'leaving' | 'members';

export default PromotionReason;

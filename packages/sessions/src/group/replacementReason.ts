/** Why a primary is replaced; `none`: no endpoint is known to lead. */
type ReplacementReason = 'lost' | 'none' | 'leaving' | 'evacuating' | 'evacuated';

export default ReplacementReason;

/** Why a caller was refused or disconnected, or a call of another VM refused (`forwarded`). */
type LimitReason =
  | 'memory'
  | 'connections'
  | 'connectionShare'
  | 'startupTime'
  | 'messageTime'
  | 'answerTime'
  | 'forwarded';

export default LimitReason;

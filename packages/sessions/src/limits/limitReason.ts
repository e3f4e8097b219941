/** Why a caller was refused or disconnected; `forwarded`: a statement found no memory, here or from another VM. */
type LimitReason =
  | 'memory'
  | 'connections'
  | 'connectionShare'
  | 'startupTime'
  | 'messageTime'
  | 'answerTime'
  | 'forwarded';

export default LimitReason;

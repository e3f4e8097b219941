/** Kinds of failures that an endpoint reports; `other` stands for all that this build does not know. */
type MemberFailure =
  | 'busy'
  | 'noStatement'
  | 'lagging'
  | 'readOnly'
  | 'misrouted'
  | 'connectionLimit'
  | 'failed'
  | 'timedOut'
  | 'other';

export default MemberFailure;

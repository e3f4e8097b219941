/**
 * Why a statement failed. `busy`, `aborted`, `unauthenticated`, `unknownDatabase`, `malformed` and
 * `tooLarge` promise that nothing of the operation is kept; `inDoubt`, `failed` and `timedOut` do not.
 */
type RefusalCode =
  | 'busy'
  | 'aborted'
  | 'inDoubt'
  | 'failed'
  | 'timedOut'
  | 'noStatement'
  | 'unauthenticated'
  | 'unknownDatabase'
  | 'malformed'
  | 'tooLarge';

export default RefusalCode;

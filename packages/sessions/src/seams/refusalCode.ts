/**
 * Why a statement was refused. `busy`, `aborted`, `unauthenticated`, `unknownDatabase`, `malformed`
 * and `tooLarge` guarantee that it had no effect; `inDoubt`, `failed` and `timedOut` do not.
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

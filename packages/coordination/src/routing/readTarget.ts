/**
 * Where a read goes.
 * - `serve`: to the first of the members that takes it; all are fresh enough.
 * - `notFresh`: no replica is known to be fresh enough; a status poll or a short wait may
 *   show one, and `primary`, when there is one, may serve at once.
 * - `recordBehind`: the session has written in a later term than the record knows; no
 *   member may serve before the record is brought up to date.
 */
type ReadTarget =
  | { kind: 'serve'; members: readonly string[] }
  | { kind: 'notFresh'; primary: string | undefined }
  | { kind: 'recordBehind' };

export default ReadTarget;

/**
 * Where a read is sent.
 * - `serve`: to `members` in this order until one accepts it; all are fresh enough.
 * - `notFresh`: no replica is known to be fresh enough. The caller may poll the replicas
 *   again, wait for them to catch up, or send the read to `primary` if there is one.
 * - `recordBehind`: the session has written in a later term than this VM's term record
 *   contains; no member may serve the read until the record is updated.
 */
type ReadTarget =
  | { kind: 'serve'; members: readonly string[] }
  | { kind: 'notFresh'; primary: string | undefined }
  | { kind: 'recordBehind' };

export default ReadTarget;

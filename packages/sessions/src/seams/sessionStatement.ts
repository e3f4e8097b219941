/** A decoded statement of a caller's session. `text`, where present, is forwarded unchanged. */
type SessionStatement =
  | { kind: 'begin'; isReadOnly: boolean }
  | { kind: 'commit'; text: string }
  | { kind: 'rollback' }
  | { kind: 'read'; text: string }
  | { kind: 'write'; text: string }
  | { kind: 'setValue'; name: string; value: string }
  | { kind: 'prepare'; name: string; isWrite: boolean; shape: string }
  | { kind: 'execute'; name: string; argumentsText: string }
  | { kind: 'deallocate'; name: string }
  | { kind: 'malformed' };

export default SessionStatement;

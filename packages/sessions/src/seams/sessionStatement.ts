/** One statement of a caller's session, decoded. `text` is forwarded unchanged where it is present. */
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

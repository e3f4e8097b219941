import type SessionStatement from '../seams/sessionStatement';

/** Statements of a test's caller. */
const callerStatements = {
  read: { kind: 'read', text: 'READ bale' },
  write: { kind: 'write', text: 'WRITE bale 1' },
  begin: { kind: 'begin', isReadOnly: false },
  commit: { kind: 'commit', text: 'COMMIT' },
} satisfies Record<string, SessionStatement>;

export default callerStatements;

import type { LogPosition } from '@auburngrade/coordination';

/** What is sent to an endpoint on a member connection. */
type MemberCommand =
  | { kind: 'forward'; requestId: string; text: string; notBefore?: LogPosition }
  | {
      kind: 'execute';
      requestId: string;
      name: string;
      argumentsText: string;
      notBefore?: LogPosition;
    }
  | { kind: 'begin'; isReadOnly: boolean; notBefore?: LogPosition }
  | { kind: 'rollback' }
  | { kind: 'reset' }
  | { kind: 'setValue'; name: string; value: string }
  | { kind: 'prepare'; name: string; isWrite: boolean; shape: string }
  | { kind: 'status' }
  | { kind: 'demote'; term: number };

export default MemberCommand;

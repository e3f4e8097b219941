import type { LogPosition } from '@auburngrade/coordination';

/** Commands to an endpoint. `notBefore`: log position it waits for, or else replies `lagging`. */
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
  | { kind: 'deallocate'; name: string }
  | { kind: 'status' }
  | { kind: 'demote'; term: number };

export default MemberCommand;

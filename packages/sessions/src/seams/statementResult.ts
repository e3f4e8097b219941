import type { LogPosition } from '@auburngrade/coordination';
import type RefusalCode from './refusalCode';

/** The result of a statement, as sent to the caller. */
type StatementResult =
  | { kind: 'complete'; rows: readonly string[]; signature: string; position?: LogPosition }
  | { kind: 'refused'; code: RefusalCode; message: string; position?: LogPosition };

export default StatementResult;

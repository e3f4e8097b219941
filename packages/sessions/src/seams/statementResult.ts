import type { LogPosition } from '@auburngrade/coordination';
import type RefusalCode from './refusalCode';

/** The outcome of a statement as the caller sees it. */
type StatementResult =
  | { kind: 'complete'; rows: readonly string[]; signature: string; position?: LogPosition }
  | { kind: 'refused'; code: RefusalCode; message: string; position?: LogPosition };

export default StatementResult;

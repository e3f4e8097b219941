import type RefusalCode from '../seams/refusalCode';
import type StatementResult from '../seams/statementResult';

/** A refusal of a statement. */
const refused = (code: RefusalCode, message: string): StatementResult => ({
  kind: 'refused',
  code,
  message,
});

export default refused;

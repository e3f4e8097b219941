import type RefusalCode from '../seams/refusalCode';
import type StatementResult from '../seams/statementResult';

/** Creates the result of a refused statement; `message` is shown to the caller. */
const createRefusal = (code: RefusalCode, message: string): StatementResult => ({
  kind: 'refused',
  code,
  message,
});

export default createRefusal;

import { isSessionControl, notRun } from '@auburngrade/coordination';
import type Settings from '../settings/settings';

interface CheckedStatement {
  sql: string;
  parameters: readonly { text?: string | undefined }[];
}

const byteLength = ({ sql, parameters }: CheckedStatement): number =>
  parameters.reduce((sum, { text }) => sum + Buffer.byteLength(text ?? ''), Buffer.byteLength(sql));

/** Checks the text and size of a statement. @throws RefusalError `badRequest` or `statementTooLarge` */
const checkStatement = (statement: CheckedStatement, { requests }: Settings): void => {
  if (statement.sql.trim() === '') throw notRun('badRequest', 'sql is empty');
  if (byteLength(statement) > requests.maxStatementBytes) {
    const message = `sql and parameters are longer than ${requests.maxStatementBytes} bytes`;
    throw notRun('statementTooLarge', message);
  }
  if (isSessionControl(statement.sql)) {
    throw notRun('badRequest', 'a statement may not control the transaction or the session');
  }
};

export default checkStatement;

import { isSessionControl, createNotRunError } from '@auburngrade/coordination';
import type Settings from '../settings/settings';

interface CheckedStatement {
  sql: string;
  parameters: readonly { text?: string | undefined }[];
}

const byteLength = ({ sql, parameters }: CheckedStatement): number =>
  parameters.reduce((sum, { text }) => sum + Buffer.byteLength(text ?? ''), Buffer.byteLength(sql));

/** Checks that a statement is not empty, not too large and no session control. @throws RefusalError `badRequest` or `statementTooLarge` */
const checkStatement = (statement: CheckedStatement, { requests }: Settings): void => {
  if (statement.sql.trim() === '') throw createNotRunError('badRequest', 'sql is empty');
  if (byteLength(statement) > requests.maxStatementBytes) {
    const message = `sql and parameters exceed the limit of ${requests.maxStatementBytes} bytes`;
    throw createNotRunError('statementTooLarge', message);
  }
  if (isSessionControl(statement.sql)) {
    throw createNotRunError(
      'badRequest',
      'the statement is a transaction or session control command, which is not allowed',
    );
  }
};

export default checkStatement;

import { isSessionControl, notRun } from '@auburngrade/coordination';
import type Settings from '../settings/settings';

/** Checks the text of a statement. @throws RefusalError `badRequest` or `statementTooLarge` */
const checkSql = (sql: string, { requests }: Settings): void => {
  if (sql.trim() === '') throw notRun('badRequest', 'sql is empty');
  if (Buffer.byteLength(sql) > requests.maxStatementBytes) {
    const message = `sql is longer than ${requests.maxStatementBytes} bytes`;
    throw notRun('statementTooLarge', message);
  }
  if (isSessionControl(sql)) {
    throw notRun('badRequest', 'a statement may not control the transaction or the session');
  }
};

export default checkSql;

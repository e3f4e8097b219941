import type { TransactionRequest } from '@auburngrade/coordination';

const quote = (text: string): string => `'${text.replaceAll("'", "''")}'`;

/** The id under which a request's effect is recorded: ids of one client account are its own. */
const recordIdOf = (request: TransactionRequest): string =>
  `${request.account ?? ''}/${request.requestId}`;

const withTerm = (term: number, statements: string[]): string =>
  statements.map((statement) => `/*term=${term}*/${statement}`).join(';');

/** What a committed transaction is recorded with, for a repeat of its request id. */
const COMMIT_RESULT = JSON.stringify({ columns: [], rows: [], command: 'COMMIT', rowCount: 0 });

/** The statements that frame a transaction; a write records its request id in it. */
const transactionSql = {
  begin: (request: TransactionRequest, term: number): string =>
    request.write
      ? withTerm(term, [
          'BEGIN READ WRITE',
          `INSERT INTO auburngrade_request (id, state) VALUES (${quote(recordIdOf(request))}, 'run')`,
        ])
      : withTerm(term, ['BEGIN READ ONLY']),
  /** The status comes without a term, so that a fence after the commit can't hide its success. */
  commit: (request: TransactionRequest, term: number): string => {
    const update = `UPDATE auburngrade_request SET result = ${quote(COMMIT_RESULT)} WHERE id = ${quote(recordIdOf(request))}`;
    const statements = request.write ? [update, 'COMMIT'] : ['COMMIT'];
    const status = 'SELECT role, fenced_term, log_term, position FROM auburngrade_member_status()';
    return `${withTerm(term, statements)};${status}`;
  },
};

export default transactionSql;

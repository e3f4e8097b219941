import type StatementRequest from '../request/statementRequest';

/** An admitted interactive transaction: the fields of a statement request without the statement. */
type TransactionRequest = Omit<StatementRequest, 'sql' | 'parameters'>;

export default TransactionRequest;

import type StatementRequest from '../request/statementRequest';

/** One admitted transaction on its way to an endpoint. */
type TransactionRequest = Omit<StatementRequest, 'sql' | 'parameters'>;

export default TransactionRequest;

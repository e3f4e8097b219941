/**
 * Why a statement on an endpoint gave no rows.
 * - `statementFailed`: the endpoint refused or failed it; it has no effect by itself.
 * - `notSent`: the statement never left this process.
 * - `connectionLost`, `timeout`: the connection is unusable; the statement may have run.
 */
type EndpointErrorKind = 'statementFailed' | 'notSent' | 'connectionLost' | 'timeout';

/** An error of one statement; `sqlState` is PostgreSQL's code when the endpoint gave one. */
class EndpointError extends Error {
  readonly kind: EndpointErrorKind;

  readonly sqlState: string | undefined;

  constructor(kind: EndpointErrorKind, message: string, sqlState?: string) {
    super(message);
    this.name = 'EndpointError';
    this.kind = kind;
    this.sqlState = sqlState;
  }
}

export default EndpointError;

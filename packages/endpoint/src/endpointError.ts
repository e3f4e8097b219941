/**
 * Why a statement on an endpoint returned no result.
 * - `statementFailed`: the endpoint reported an error; the statement itself had no effect.
 * - `notSent`: the statement was not sent.
 * - `connectionLost`, `timeout`: the connection is unusable; the statement may have run.
 */
type EndpointErrorKind = 'statementFailed' | 'notSent' | 'connectionLost' | 'timeout';

/** Failure of one statement; `sqlState` is the SQLSTATE code if the endpoint reported one. */
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

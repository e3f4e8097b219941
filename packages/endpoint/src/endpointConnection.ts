import type QueryResult from './queryResult';

/** One connection to an endpoint; runs one statement at a time. */
abstract class EndpointConnection {
  /** Runs one statement with bound parameters. @throws EndpointError */
  abstract query(
    sql: string,
    parameters: (string | null)[],
    timeoutMs: number,
  ): Promise<QueryResult>;

  /** Runs several statements in one message, without parameters. @throws EndpointError */
  abstract script(sql: string, timeoutMs: number): Promise<QueryResult[]>;

  /** False once the connection can't be reused: lost, closed, or with an answer outstanding. */
  abstract isUsable(): boolean;

  abstract close(): void;
}

export default EndpointConnection;

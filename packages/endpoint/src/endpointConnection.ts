import type QueryResult from './queryResult';

/** One connection to an endpoint; runs one statement at a time. */
abstract class EndpointConnection {
  /** Runs one statement with bound parameters. @throws EndpointError */
  abstract query(
    sql: string,
    parameters: (string | null)[],
    timeoutMs: number,
  ): Promise<QueryResult>;

  /** Runs several statements without parameters, sent in one message. @throws EndpointError */
  abstract runScript(sql: string, timeoutMs: number): Promise<QueryResult[]>;

  /** Whether the connection can run a statement: neither lost nor closed, and none in progress. */
  abstract isUsable(): boolean;

  abstract close(): void;
}

export default EndpointConnection;

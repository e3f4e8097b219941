import { EndpointConnection, type QueryResult } from '@auburngrade/endpoint';

/** Connection that runs a check, which may throw, before each statement of a caller. */
class CheckedConnection extends EndpointConnection {
  constructor(
    private readonly connection: EndpointConnection,
    private readonly check: () => void,
  ) {
    super();
  }

  override async query(
    sql: string,
    parameters: (string | null)[],
    timeoutMs: number,
  ): Promise<QueryResult> {
    this.check();
    return this.connection.query(sql, parameters, timeoutMs);
  }

  /** Not checked: scripts are the VM's own and begin or end transactions or look up outcomes. */
  override runScript(sql: string, timeoutMs: number): Promise<QueryResult[]> {
    return this.connection.runScript(sql, timeoutMs);
  }

  override isUsable(): boolean {
    return this.connection.isUsable();
  }

  override close(): void {
    this.connection.close();
  }
}

export default CheckedConnection;

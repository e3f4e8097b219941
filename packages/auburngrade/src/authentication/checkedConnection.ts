import { EndpointConnection, type QueryResult } from '@auburngrade/endpoint';

/** A connection that sends a caller's statement only when a check allows it. */
class CheckedConnection extends EndpointConnection {
  constructor(
    private readonly inner: EndpointConnection,
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
    return this.inner.query(sql, parameters, timeoutMs);
  }

  /** Scripts are the VM's own: they begin and end transactions and look up outcomes. */
  override script(sql: string, timeoutMs: number): Promise<QueryResult[]> {
    return this.inner.script(sql, timeoutMs);
  }

  override isUsable(): boolean {
    return this.inner.isUsable();
  }

  override close(): void {
    this.inner.close();
  }
}

export default CheckedConnection;

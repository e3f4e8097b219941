import type { Client, QueryArrayResult } from 'pg';
import EndpointConnection from './endpointConnection';
import EndpointError from './endpointError';
import messageOf from './messageOf';
import type QueryResult from './queryResult';
import sqlStateOf from './sqlStateOf';

const toResult = (result: QueryArrayResult): QueryResult => ({
  columns: result.fields.map(({ name }) => name),
  rows: result.rows as (string | null)[][],
  command: result.command ?? '',
  rowCount: result.rowCount ?? 0,
});

const TEXT_TYPES = { getTypeParser: () => (value: string) => value };

/** Statements with parameters use the extended protocol, which allows one statement per message. */
const toQuery = (text: string, values: (string | null)[] | undefined) => ({
  text,
  values,
  queryMode: values ? 'extended' : undefined,
  rowMode: 'array' as const,
  types: TEXT_TYPES,
});

/** Idle time after which a connection is probed before its next statement. */
const PROBE_AFTER_IDLE_MS = 1_000;
const PROBE_TIMEOUT_MS = 300;

/** A connection over the PostgreSQL protocol. A lost or late reply closes the connection. */
class PgConnection extends EndpointConnection {
  private isOpen = true;

  private busy = false;

  private answeredAtMs = performance.now();

  constructor(private readonly client: Client) {
    super();
    const markUnusable = (): void => {
      this.isOpen = false;
    };
    client.on('error', markUnusable);
    client.on('end', markUnusable);
  }

  override async query(
    sql: string,
    parameters: (string | null)[],
    timeoutMs: number,
  ): Promise<QueryResult> {
    const [result] = await this.run(sql, parameters, timeoutMs);
    return result ?? { columns: [], rows: [], command: '', rowCount: 0 };
  }

  override runScript(sql: string, timeoutMs: number): Promise<QueryResult[]> {
    return this.run(sql, undefined, timeoutMs);
  }

  override isUsable(): boolean {
    return this.isOpen && !this.busy;
  }

  override close(): void {
    this.isOpen = false;
    this.client.end().catch(() => {});
    (
      this.client as unknown as { connection: { stream: { destroy(): void } } }
    ).connection.stream.destroy();
  }

  private async run(
    sql: string,
    parameters: (string | null)[] | undefined,
    timeoutMs: number,
  ): Promise<QueryResult[]> {
    if (!this.isUsable())
      throw new EndpointError('notSent', 'connection is closed, or a statement is in progress');
    this.busy = true;
    await this.probeAfterIdle();
    try {
      const outcome = await this.withTimeout(sql, parameters, timeoutMs);
      this.busy = false;
      this.answeredAtMs = performance.now();
      return outcome;
    } catch (error) {
      throw this.classify(error);
    }
  }

  /**
   * A device on the network path may have lost the state of an idle connection. An empty query
   * detects that before a statement is sent.
   */
  private async probeAfterIdle(): Promise<void> {
    if (performance.now() - this.answeredAtMs < PROBE_AFTER_IDLE_MS) return;
    try {
      await this.withTimeout('', undefined, PROBE_TIMEOUT_MS);
    } catch (error) {
      this.close();
      throw new EndpointError('notSent', `idle connection failed its probe: ${messageOf(error)}`);
    }
  }

  private withTimeout(
    sql: string,
    parameters: (string | null)[] | undefined,
    timeoutMs: number,
  ): Promise<QueryResult[]> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.close();
        reject(new EndpointError('timeout', `no answer within ${timeoutMs} ms`));
      }, timeoutMs);
      this.client
        .query(toQuery(sql, parameters))
        .then((result) => resolve([result].flat().map(toResult)), reject)
        .finally(() => clearTimeout(timer));
    });
  }

  private classify(error: unknown): EndpointError {
    if (error instanceof EndpointError) return error;
    const sqlState = sqlStateOf(error);
    if (sqlState !== undefined && this.isOpen) {
      this.busy = false;
      return new EndpointError('statementFailed', messageOf(error), sqlState);
    }
    this.close();
    return new EndpointError('connectionLost', messageOf(error), sqlState);
  }
}

export default PgConnection;

import { Client } from 'pg';
import Endpoint from './endpoint';
import type EndpointAddress from './endpointAddress';
import type EndpointConnection from './endpointConnection';
import EndpointError from './endpointError';
import messageOf from './messageOf';
import PgConnection from './pgConnection';
import sqlStateOf from './sqlStateOf';

/** Connections are read-only except in transactions that are begun as read-write. */
const READ_ONLY_OPTION = '-c default_transaction_read_only=on';
const idleTimeoutOption = (timeoutMs: number): string => `-c idle_session_timeout=${timeoutMs}`;
const KEEP_ALIVE_DELAY_MS = 5_000;

class PgEndpoint extends Endpoint {
  constructor(private readonly address: EndpointAddress) {
    super();
  }

  override async connect(timeoutMs: number): Promise<EndpointConnection> {
    const client = new Client({
      host: this.address.host,
      port: this.address.port,
      database: this.address.database,
      user: this.address.user,
      password: this.address.password,
      application_name: this.address.applicationName,
      options: `${READ_ONLY_OPTION} ${idleTimeoutOption(this.address.idleTimeoutMs)}`,
      connectionTimeoutMillis: Math.max(1, Math.floor(timeoutMs)),
      keepAlive: true,
      keepAliveInitialDelayMillis: KEEP_ALIVE_DELAY_MS,
    });
    try {
      await client.connect();
      return new PgConnection(client);
    } catch (error) {
      client.end().catch(() => {});
      throw new EndpointError('notSent', messageOf(error), sqlStateOf(error));
    }
  }
}

/** Creates an endpoint that is accessed over the PostgreSQL protocol. */
const createPgEndpoint = (address: EndpointAddress): Endpoint => new PgEndpoint(address);

export default createPgEndpoint;

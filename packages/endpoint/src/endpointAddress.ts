/** Where and as whom to connect to an endpoint. */
interface EndpointAddress {
  host: string;
  port: number;
  database: string;
  user: string;
  password?: string;
  /** Shown in the endpoint's list of connections. */
  applicationName: string;
  /** The endpoint closes a connection that is idle, outside a transaction, for longer. */
  idleTimeoutMs: number;
}

export default EndpointAddress;

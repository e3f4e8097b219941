/** Connection parameters of an endpoint. */
interface EndpointAddress {
  host: string;
  port: number;
  database: string;
  user: string;
  password?: string;
  /** Identifies the client in the endpoint's list of connections. */
  applicationName: string;
  /** Idle time outside a transaction after which the endpoint closes the connection. */
  idleTimeoutMs: number;
}

export default EndpointAddress;

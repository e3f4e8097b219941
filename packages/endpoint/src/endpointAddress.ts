/** Where and as whom to connect to an endpoint. */
interface EndpointAddress {
  host: string;
  port: number;
  database: string;
  user: string;
  password?: string;
  /** Shown in the endpoint's list of connections. */
  applicationName: string;
}

export default EndpointAddress;

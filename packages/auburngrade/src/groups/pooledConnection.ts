import type { EndpointConnection } from '@auburngrade/endpoint';

/** A connection that its user gives back by `release`, once. */
interface PooledConnection {
  connection: EndpointConnection;
  release(): void;
}

export default PooledConnection;

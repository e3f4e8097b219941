import type { EndpointConnection } from '@auburngrade/endpoint';

/** A connection from a pool; its user calls `release` once. */
interface PooledConnection {
  connection: EndpointConnection;
  release(): void;
}

export default PooledConnection;

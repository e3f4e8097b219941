import type createConnectionPool from './createConnectionPool';

/** A bounded pool of connections to one endpoint. */
type ConnectionPool = ReturnType<typeof createConnectionPool>;

export default ConnectionPool;

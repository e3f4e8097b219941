import countValuesBytes from '../limits/countValuesBytes';
import type PooledConnection from './pooledConnection';

/** Longer values are not kept for an idle connection: a session with other values resets it. */
const MAX_KEPT_VALUES_BYTES = 4_096;

/** Keeps the idle connections to an endpoint, to be used again by statements of the same account. */
const createIdleConnections = () => {
  const idleConnections = new Set<PooledConnection>();

  return {
    count: (): number => idleConnections.size,
    add: (released: PooledConnection, nowMs: number): void => {
      const connection = released;
      connection.lastUsedAtMs = nowMs;
      if (connection.values && countValuesBytes(connection.values) > MAX_KEPT_VALUES_BYTES)
        connection.values = undefined;
      idleConnections.add(connection);
    },
    delete: (connection: PooledConnection): void => {
      idleConnections.delete(connection);
    },
    /** Finds one of the account, if possible with the values of the session. */
    find: (account: string, valuesKey: string): PooledConnection | undefined => {
      let bestMatch: PooledConnection | undefined;
      for (const connection of idleConnections) {
        if (connection.account === account) {
          if (connection.valuesKey === valuesKey) return connection;
          if (!bestMatch || connection.valuesKey === '') bestMatch = connection;
        }
      }
      return bestMatch;
    },
    listOldestFirst: (): PooledConnection[] =>
      [...idleConnections].sort((a, b) => a.lastUsedAtMs - b.lastUsedAtMs),
  };
};

export default createIdleConnections;

import type GroupClient from '../groups/groupClient';
import type PooledConnection from '../groups/pooledConnection';
import CheckedConnection from './checkedConnection';

/** Wraps a group's holder so that its connections run `check` before each statement of a caller. */
const addKeyCheck = (holder: GroupClient, check: () => void): GroupClient => {
  const wrapAcquired = async (acquired: Promise<PooledConnection>): Promise<PooledConnection> => {
    const { connection, release } = await acquired;
    return { connection: new CheckedConnection(connection, check), release };
  };
  return {
    ...holder,
    acquire: (...args) => wrapAcquired(holder.acquire(...args)),
    acquirePrimary: (...args) => wrapAcquired(holder.acquirePrimary(...args)),
  };
};

export default addKeyCheck;

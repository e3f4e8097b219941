import type GroupHolder from '../groups/groupHolder';
import type PooledConnection from '../groups/pooledConnection';
import CheckedConnection from './checkedConnection';

/** A group's holder whose connections send a caller's statement only while its key is good. */
const withKeyCheck = (holder: GroupHolder, check: () => void): GroupHolder => {
  const checked = async (acquired: Promise<PooledConnection>): Promise<PooledConnection> => {
    const { connection, release } = await acquired;
    return { connection: new CheckedConnection(connection, check), release };
  };
  return {
    ...holder,
    acquire: (...wanted) => checked(holder.acquire(...wanted)),
    acquirePrimary: (...wanted) => checked(holder.acquirePrimary(...wanted)),
  };
};

export default withKeyCheck;

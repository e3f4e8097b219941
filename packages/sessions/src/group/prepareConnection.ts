import MemberConnectionError from '../seams/memberConnectionError';
import type MemberCommand from '../seams/memberCommand';
import type { PreparedStatement } from '../generated/auburngrade/session/v1/session';
import type MemberPool from './memberPool';
import type PooledConnection from './pooledConnection';
import toValuesKey from './toValuesKey';

/**
 * Sets a session's values on a connection and prepares its next statement there, where they differ.
 * The commands are pipelined; all must succeed before the statement itself is sent.
 * Returns the name under which the statement is prepared, or undefined if it is not a prepared one.
 * @throws MemberLinkError
 */
const prepareConnection = async (
  pool: Pick<MemberPool, 'send'>,
  pooledConnection: PooledConnection,
  values: ReadonlyMap<string, string>,
  prepared: PreparedStatement | undefined,
): Promise<string | undefined> => {
  const connection = pooledConnection;
  const commands: MemberCommand[] = [];
  const valuesKey = toValuesKey(values);
  if (connection.valuesKey !== valuesKey) {
    // Values cannot be unset individually, hence the reset. It never occurs within a transaction,
    // where a session only adds or changes values, and all of them are known.
    if (!connection.values || [...connection.values.keys()].some((name) => !values.has(name))) {
      commands.push({ kind: 'reset' });
      connection.prepared.clear();
      connection.values = new Map();
    }
    const currentValues = connection.values;
    values.forEach((value, name) => {
      if (currentValues.get(name) !== value) commands.push({ kind: 'setValue', name, value });
    });
  }
  const use = prepared && connection.prepared.use(prepared);
  use?.toDeallocate.forEach((name) => commands.push({ kind: 'deallocate', name }));
  if (prepared && use?.isNew) {
    const { isWrite, shape } = prepared;
    commands.push({ kind: 'prepare', name: use.name, isWrite, shape });
  }
  connection.valuesKey = valuesKey;
  connection.values = values;
  if (commands.length === 0) return use?.name;
  const replies = await Promise.all(commands.map((command) => pool.send(connection, command)));
  const failure = replies.find((reply) => reply.failure)?.failure;
  if (failure) throw new MemberConnectionError(failure.kind, failure.message);
  return use?.name;
};

export default prepareConnection;

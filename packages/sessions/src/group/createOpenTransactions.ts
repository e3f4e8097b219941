import type EventLog from '../seams/eventLog';
import type OpenTransaction from './openTransaction';
import type PendingStatement from './pendingStatement';
import toTransactionKey from './toTransactionKey';

/** Timeout of the rollback that ends a transaction; the connection is closed then. */
const ROLLBACK_TIMEOUT_MS = 250;

interface OpenTransactionsOptions {
  group: string;
  log: EventLog;
}

/** Keeps the open transactions of a group, each with the connection that it holds, and ends them. */
const createOpenTransactions = ({ group, log }: OpenTransactionsOptions) => {
  const transactions = new Map<string, OpenTransaction>();

  const endTransaction = (transaction: OpenTransaction, isEndedAtEndpoint: boolean): void => {
    if (!transactions.delete(transaction.id)) return;
    clearTimeout(transaction.idleTimer);
    const { pool, member: connection } = transaction;
    if (isEndedAtEndpoint) {
      pool.release(connection);
      return;
    }
    if (connection.isEnded || transaction.isStatementRunning) {
      pool.closeConnection(connection);
      return;
    }
    const timeoutTimer = setTimeout(() => pool.closeConnection(connection), ROLLBACK_TIMEOUT_MS);
    pool.send(connection, { kind: 'rollback' }).then(
      (reply) => {
        clearTimeout(timeoutTimer);
        if (reply.state === 'idle' && !reply.failure) pool.release(connection);
        else pool.closeConnection(connection);
      },
      () => clearTimeout(timeoutTimer),
    );
  };

  const startIdleTimer = (idleTransaction: OpenTransaction): void => {
    const transaction = idleTransaction;
    clearTimeout(transaction.idleTimer);
    transaction.idleTimer = setTimeout(() => {
      log.info('transaction.idleEnded', {
        group,
        transaction: transaction.id,
        idleMs: transaction.idleMs,
      });
      endTransaction(transaction, false);
    }, transaction.idleMs);
  };

  return {
    add: (transaction: OpenTransaction): void => {
      transactions.set(transaction.id, transaction);
    },
    get: (key: string): OpenTransaction | undefined => transactions.get(key),
    find: ({ senderId, call }: PendingStatement): OpenTransaction | undefined =>
      call.transaction === 0
        ? undefined
        : transactions.get(toTransactionKey(senderId, call.transaction)),
    countAt: (endpointId: string): number =>
      [...transactions.values()].filter((transaction) => transaction.endpointId === endpointId)
        .length,
    count: (): number => transactions.size,
    list: (): OpenTransaction[] => [...transactions.values()],
    /** Ends a transaction; rolls it back unless the endpoint has ended it already. */
    end: endTransaction,
    /** Ends all at an endpoint without a command to it, which rolls them back by itself; returns how many. */
    endAllAt: (endpointId: string): number => {
      const ended = [...transactions.values()].filter(
        (transaction) => transaction.endpointId === endpointId,
      );
      ended.forEach(({ id, idleTimer, pool, member }) => {
        transactions.delete(id);
        clearTimeout(idleTimer);
        pool.closeConnection(member);
      });
      return ended.length;
    },
    startIdleTimer,
  };
};

export default createOpenTransactions;

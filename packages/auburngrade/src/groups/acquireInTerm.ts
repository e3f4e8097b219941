import { notRun } from '@auburngrade/coordination';
import type LentConnection from './lentConnection';
import type PooledConnection from './pooledConnection';

interface InTermOptions {
  acquire(): Promise<LentConnection>;
  /** Calls the listener once when the term is over; returns the function that stops it. */
  onTermOver(listener: () => void): () => void;
  /** Called when there is no connection, or the wait and the use take longer than `slowAfterMs`. */
  onTrouble(): void;
  slowAfterMs: number;
}

const RETRY_AFTER_MS = 100;

/**
 * Acquires a connection for use within one term. A replaced primary may never answer, so
 * neither the wait for a connection nor a statement on it outlasts the term, and an account
 * is not charged for the time of a statement that was cut.
 * @throws RefusalError `noPrimary` when the term ends first, else what `acquire` throws.
 */
const acquireInTerm = (options: InTermOptions): Promise<PooledConnection> =>
  new Promise((resolve, reject) => {
    let pooled: LentConnection | undefined;
    let isOver = false;
    const slowTimer = setTimeout(options.onTrouble, options.slowAfterMs);
    const stopWatching = options.onTermOver(() => {
      isOver = true;
      clearTimeout(slowTimer);
      pooled?.discard();
      reject(notRun('noPrimary', 'the primary has been replaced', RETRY_AFTER_MS));
    });
    const stop = (): void => {
      clearTimeout(slowTimer);
      stopWatching();
    };

    const lend = (acquired: LentConnection): void => {
      if (isOver) {
        acquired.release();
        return;
      }
      pooled = acquired;
      resolve({
        connection: acquired.connection,
        release: () => {
          stop();
          acquired.release();
        },
      });
    };

    options.acquire().then(lend, (error: unknown) => {
      stop();
      options.onTrouble();
      reject(error);
    });
  });

export default acquireInTerm;

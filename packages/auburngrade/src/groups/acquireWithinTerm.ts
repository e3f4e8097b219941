import { createNotRunError } from '@auburngrade/coordination';
import type CheckedOutConnection from './checkedOutConnection';
import type PooledConnection from './pooledConnection';

interface AcquireOptions {
  acquire(): Promise<CheckedOutConnection>;
  /** Calls the listener once when a later term is known; returns the function to unsubscribe. */
  onTermSuperseded(listener: () => void): () => void;
  /** Called when `acquire` fails, or the wait and the use together exceed `slowAfterMs`. */
  onSlowOrFailed(): void;
  slowAfterMs: number;
}

const RETRY_AFTER_MS = 100;

/**
 * Acquires a connection that is discarded when the term is superseded. A replaced primary may
 * never answer, so neither the wait for a connection nor a statement on it outlasts the term;
 * the account is not charged for the time of an interrupted statement.
 * @throws RefusalError `noPrimary` when the term ends first, else what `acquire` throws.
 */
const acquireWithinTerm = (options: AcquireOptions): Promise<PooledConnection> =>
  new Promise((resolve, reject) => {
    let pooled: CheckedOutConnection | undefined;
    let isSuperseded = false;
    const slowTimer = setTimeout(options.onSlowOrFailed, options.slowAfterMs);
    const unsubscribe = options.onTermSuperseded(() => {
      isSuperseded = true;
      clearTimeout(slowTimer);
      pooled?.discard();
      reject(
        createNotRunError(
          'noPrimary',
          'the primary of this term has been replaced',
          RETRY_AFTER_MS,
        ),
      );
    });
    const stop = (): void => {
      clearTimeout(slowTimer);
      unsubscribe();
    };

    const handOut = (acquired: CheckedOutConnection): void => {
      if (isSuperseded) {
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

    options.acquire().then(handOut, (error: unknown) => {
      stop();
      options.onSlowOrFailed();
      reject(error);
    });
  });

export default acquireWithinTerm;

import SqlError from './sqlError';

const LOCK_TIMEOUT_MS = 5_000;
const LOCK_TIMEOUT_STATE = '55P03';

/** Row locks held until a transaction ends, as PostgreSQL holds them for writers. */
const createRowLocks = () => {
  const owners = new Map<string, { owner: object; released: Promise<void>; release: () => void }>();

  const timeout = (): Promise<never> =>
    new Promise((_, reject) => {
      setTimeout(
        () => reject(new SqlError(LOCK_TIMEOUT_STATE, 'lock not available')),
        LOCK_TIMEOUT_MS,
      ).unref();
    });

  const lock = async (row: string, owner: object): Promise<void> => {
    const held = owners.get(row);
    if (held?.owner === owner) return;
    if (held) {
      await Promise.race([held.released, timeout()]);
      await lock(row, owner);
      return;
    }
    let release = (): void => {};
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    owners.set(row, { owner, released, release });
  };

  const releaseWhere = (isReleased: (owner: object) => boolean): void => {
    [...owners].forEach(([row, held]) => {
      if (!isReleased(held.owner)) return;
      owners.delete(row);
      held.release();
    });
  };

  return {
    lock,
    releaseAll: (owner: object): void => releaseWhere((holder) => holder === owner),
    /** Releases the locks of every session, as a restart does. */
    clear: (): void => releaseWhere(() => true),
  };
};

export default createRowLocks;

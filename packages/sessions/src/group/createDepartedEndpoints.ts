import type GroupEndpoint from '../seams/groupEndpoint';

/** An endpoint without an entry counts as gone for good after this time. */
const RETENTION_MS = 30_000;

/**
 * Remembers endpoints whose entries are gone: one that can't reach the store still receives commits, and the log of
 * one that left goes to a new endpoint at its address.
 */
const createDepartedEndpoints = (nowMs: () => number) => {
  const departed = new Map<string, { address: string; sinceMs: number }>();

  return {
    add: ({ id, address }: Pick<GroupEndpoint, 'id' | 'address'>): void => {
      departed.set(id, { address, sinceMs: nowMs() });
    },
    /** Call with each endpoint that is listed: it is back, or has the log of the one that it replaces. */
    noteListed: (listed: Pick<GroupEndpoint, 'id' | 'address'>): void => {
      departed.forEach(({ address }, id) => {
        if (id === listed.id || address === listed.address) departed.delete(id);
      });
    },
    list: (): string[] =>
      [...departed].flatMap(([id, { sinceMs }]) => (nowMs() - sinceMs < RETENTION_MS ? [id] : [])),
  };
};

export default createDepartedEndpoints;

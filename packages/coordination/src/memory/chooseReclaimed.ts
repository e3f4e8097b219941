import type MemoryHolder from './memoryHolder';

interface ReclaimInput<Holder extends MemoryHolder> {
  budgetBytes: number;
  holders: readonly Holder[];
}

/** Within an account, a holder of at least this part of the account's largest is as large. */
const LARGE_RATIO = 0.5;

/**
 * Chooses the holders to close, in order, until the others are within the budget. The account that holds most comes
 * first. Of its large holders, the one that has held for the longest comes first: a message that arrives without a pause
 * outlives those that were left half-way.
 */
const chooseReclaimed = <Holder extends MemoryHolder>({
  budgetBytes,
  holders,
}: ReclaimInput<Holder>): Holder[] => {
  const byAccount = new Map<string, { heldBytes: number; holders: Holder[] }>();
  let usedBytes = 0;
  holders.forEach((holder) => {
    if (holder.heldBytes === 0) return;
    const entry = byAccount.get(holder.account) ?? { heldBytes: 0, holders: [] };
    byAccount.set(holder.account, entry);
    entry.heldBytes += holder.heldBytes;
    entry.holders.push(holder);
    usedBytes += holder.heldBytes;
  });
  const reclaimed: Holder[] = [];
  while (usedBytes > budgetBytes) {
    const largest = [...byAccount.values()].reduce((most, entry) =>
      entry.heldBytes > most.heldBytes ? entry : most,
    );
    const largeBytes = LARGE_RATIO * Math.max(...largest.holders.map(({ heldBytes }) => heldBytes));
    const chosen = largest.holders
      .filter(({ heldBytes }) => heldBytes >= largeBytes)
      .reduce((oldest, holder) => (holder.since < oldest.since ? holder : oldest));
    largest.holders.splice(largest.holders.indexOf(chosen), 1);
    largest.heldBytes -= chosen.heldBytes;
    usedBytes -= chosen.heldBytes;
    reclaimed.push(chosen);
  }
  return reclaimed;
};

export default chooseReclaimed;

import type HolderContext from './holderContext';

/**
 * Returns the ids of a group's holders in the order in which a statement tries them: this VM,
 * its data centre, the other data centres, then holders that failed. Holders that are
 * shutting down are left out unless there is no other.
 */
const orderHolders = (context: HolderContext): string[] => {
  const { holders, vm, dataCentre, leaving, failed, random } = context;
  const stayingHolders = holders.filter(({ id }) => !leaving.has(id));
  const usableHolders = stayingHolders.length > 0 ? stayingHolders : holders;
  const startIndex = Math.floor(random * usableHolders.length);
  const computeRank = (holder: { id: string; dataCentre: string }): number => {
    const distance = holder.dataCentre === dataCentre ? 1 : 2;
    return (failed.has(holder.id) ? 3 : 0) + (holder.id === vm ? 0 : distance);
  };
  return [...usableHolders.slice(startIndex), ...usableHolders.slice(0, startIndex)]
    .map((holder) => ({ id: holder.id, rank: computeRank(holder) }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ id }) => id);
};

export default orderHolders;

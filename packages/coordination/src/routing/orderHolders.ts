import type HolderState from './holderState';

/**
 * Orders the holders of a group for a statement: this VM itself, then its data centre, then
 * the others. Holders that failed come last, and those that are shutting down only when
 * there is no other.
 */
const orderHolders = (state: HolderState): string[] => {
  const { holders, vm, dataCentre, leaving, failed, random } = state;
  const staying = holders.filter(({ id }) => !leaving.has(id));
  const usable = staying.length > 0 ? staying : holders;
  const start = Math.floor(random * usable.length);
  const rankOf = (holder: { id: string; dataCentre: string }): number => {
    const distance = holder.dataCentre === dataCentre ? 1 : 2;
    return (failed.has(holder.id) ? 3 : 0) + (holder.id === vm ? 0 : distance);
  };
  return [...usable.slice(start), ...usable.slice(0, start)]
    .map((holder) => ({ id: holder.id, rank: rankOf(holder) }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ id }) => id);
};

export default orderHolders;

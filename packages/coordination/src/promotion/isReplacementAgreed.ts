import type PrimaryView from './primaryView';

/**
 * Whether a VM that sees the primary gone may replace it, given what the other
 * holders of the group's connections answered. One VM's view alone is not enough
 * when another one sees the primary; those that can't be asked don't count.
 */
const isReplacementAgreed = (others: readonly PrimaryView[]): boolean => {
  const goneCount = 1 + others.filter((view) => view === 'gone').length;
  const presentCount = others.filter((view) => view === 'present').length;
  if (presentCount === 0) return true;
  return goneCount > 1 && goneCount >= presentCount;
};

export default isReplacementAgreed;

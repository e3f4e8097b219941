import type PrimaryHealth from './primaryHealth';

/**
 * Whether a VM that considers the primary `gone` may replace it, given the views of the other
 * VMs connected to the group. One VM alone may not replace a primary that another VM sees as
 * `present`; two or more may, if no more VMs see it as `present` than as `gone`. VMs that
 * can't be asked don't count.
 */
const isReplacementAgreed = (peerViews: readonly PrimaryHealth[]): boolean => {
  const goneCount = 1 + peerViews.filter((view) => view === 'gone').length;
  const presentCount = peerViews.filter((view) => view === 'present').length;
  if (presentCount === 0) return true;
  return goneCount > 1 && goneCount >= presentCount;
};

export default isReplacementAgreed;

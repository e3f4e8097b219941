import smallestBudget from './smallestBudget';
import CONTROL_CONNECTIONS from './controlConnections';

interface Budgeted {
  connectionBudget: number;
  slots: number;
  members: readonly unknown[];
}

/**
 * Connections for statements that the VM of one slot may have open to each member, beside
 * its control connection; 0 when the budget is too small for the slots.
 */
const connectionShare = (group: Budgeted): number => {
  if (group.connectionBudget < smallestBudget(group)) return 0;
  const perMember = Math.floor(group.connectionBudget / group.slots / group.members.length);
  return perMember - CONTROL_CONNECTIONS;
};

export default connectionShare;

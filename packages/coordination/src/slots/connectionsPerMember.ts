import minConnectionBudget from './minConnectionBudget';
import CONTROL_CONNECTIONS from './controlConnections';

interface BudgetedGroup {
  connectionBudget: number;
  slots: number;
  members: readonly unknown[];
}

/**
 * Connections for statements that the holder of one slot may open to each member, in addition to
 * its control connection; 0 if the budget is too small for the number of slots.
 */
const connectionsPerMember = (group: BudgetedGroup): number => {
  if (group.connectionBudget < minConnectionBudget(group)) return 0;
  const perMember = Math.floor(group.connectionBudget / group.slots / group.members.length);
  return perMember - CONTROL_CONNECTIONS;
};

export default connectionsPerMember;

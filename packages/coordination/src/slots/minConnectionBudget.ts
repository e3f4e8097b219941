import CONTROL_CONNECTIONS from './controlConnections';

const MIN_STATEMENT_CONNECTIONS_PER_MEMBER = 1;

/** The smallest connection budget with which each slot holder can serve every member. */
const minConnectionBudget = (group: { slots: number; members: readonly unknown[] }): number =>
  group.slots * group.members.length * (CONTROL_CONNECTIONS + MIN_STATEMENT_CONNECTIONS_PER_MEMBER);

export default minConnectionBudget;

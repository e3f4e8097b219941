import CONTROL_CONNECTIONS from './controlConnections';

const MIN_DATA_CONNECTIONS = 1;

/** The smallest budget that gives the VM of each slot what it needs at each member. */
const smallestBudget = (group: { slots: number; members: readonly unknown[] }): number =>
  group.slots * group.members.length * (CONTROL_CONNECTIONS + MIN_DATA_CONNECTIONS);

export default smallestBudget;

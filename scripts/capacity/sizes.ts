const S_PER_DAY = 86_400;
const VMS = 3_300;
const GROUPS = 38_000;
const SLOTS_PER_GROUP = 3;
const TODAY_VMS = 8;
const RELAYS_PER_DATA_CENTRE = 2;
const DATA_CENTRES = 12;
const TODAY_DATA_CENTRES = 4;
const TODAY_GROUPS = 3;

/** Sizes that follow from a fleet's VMs, groups and traffic. */
interface FleetSize {
  vms: number;
  /** VMs that watch the platform: two in each data centre. */
  relays: number;
  heldGroupsPerVm: number;
  connectionsPerVm: number;
  statementsPerSPerVm: number;
  changesPerS: number;
  /** A group, a term and a slots document a group, and an entry a VM; accounts and keys come on top. */
  documents: number;
  vmStartsPerS: number;
  primaryChangesPerS: number;
}

/** The size of two years out; a database is taken as a group of three members. */
const future: FleetSize = {
  vms: VMS,
  relays: RELAYS_PER_DATA_CENTRE * DATA_CENTRES,
  heldGroupsPerVm: (GROUPS * SLOTS_PER_GROUP) / VMS,
  connectionsPerVm: 28_000_000 / VMS,
  statementsPerSPerVm: 6_000_000 / VMS,
  changesPerS: 85_000 / S_PER_DAY,
  documents: GROUPS * SLOTS_PER_GROUP + VMS,
  vmStartsPerS: (220 + 2_300) / S_PER_DAY,
  primaryChangesPerS: 28 / S_PER_DAY,
};

/** One of the users' systems today; traffic is not stated and left out. */
const today: FleetSize = {
  vms: TODAY_VMS,
  relays: RELAYS_PER_DATA_CENTRE * TODAY_DATA_CENTRES,
  heldGroupsPerVm: (TODAY_GROUPS * SLOTS_PER_GROUP) / TODAY_VMS,
  connectionsPerVm: 0,
  statementsPerSPerVm: 0,
  changesPerS: 0,
  documents: TODAY_GROUPS * SLOTS_PER_GROUP + TODAY_VMS,
  vmStartsPerS: 0,
  primaryChangesPerS: 0,
};

const sizes = { future, today };

export default sizes;

/** Fewest voters of a fleet: three may be lost at once and the rest is still a majority. */
const MIN_VOTERS = 7;
/** A voter owns more than one group where the fleet has more groups than voters. */
const VOTERS_PER_GROUP = 0.75;

/**
 * Returns the number of voter seats in each data centre. Voters exchange heartbeats and own groups; the
 * other VMs only forward statements, so the heartbeats of a fleet grow with its groups, not with its VMs.
 */
const countVoterSeats = (dataCentreCount: number, groupCount: number): number =>
  Math.ceil(Math.max(MIN_VOTERS, groupCount * VOTERS_PER_GROUP) / Math.max(1, dataCentreCount));

export default countVoterSeats;

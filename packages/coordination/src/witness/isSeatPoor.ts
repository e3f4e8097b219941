import type WitnessGroups from './witnessGroups';

const countOf = (groups: WitnessGroups): number => groups.flat().length;

/** Whether a VM should change its witnesses: some are no longer listed, or more can be had. */
const isSeatPoor = (
  present: WitnessGroups,
  wanted: WitnessGroups,
  listed: ReadonlySet<string>,
): boolean =>
  countOf(present) < countOf(wanted) || present.flat().some((witness) => !listed.has(witness));

export default isSeatPoor;

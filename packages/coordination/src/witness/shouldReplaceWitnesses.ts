import type WitnessGroups from './witnessGroups';

const witnessCount = (groups: WitnessGroups): number => groups.flat().length;

/** Whether a VM should replace its witnesses: some are not registered, or more are available. */
const shouldReplaceWitnesses = (
  currentGroups: WitnessGroups,
  desiredGroups: WitnessGroups,
  registeredVms: ReadonlySet<string>,
): boolean =>
  witnessCount(currentGroups) < witnessCount(desiredGroups) ||
  currentGroups.flat().some((witness) => !registeredVms.has(witness));

export default shouldReplaceWitnesses;

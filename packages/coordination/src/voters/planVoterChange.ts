import doMajoritiesMeet from './doMajoritiesMeet';

interface VoterChange {
  /** VMs that vote and are not in the set. */
  joining: readonly string[];
  /** VMs of the set that left or are gone for good. */
  leaving: readonly string[];
}

/**
 * The next set of voters on the way to the wanted change: as much of it as keeps every majority of the next set in
 * touch with every one of the present set. Undefined if there is nothing to change.
 */
const planVoterChange = (
  current: readonly string[],
  { joining, leaving }: VoterChange,
): string[] | undefined => {
  let next = [...current];
  const tryStep = (candidate: string[]): void => {
    if (candidate.length > 0 && doMajoritiesMeet(current, candidate)) next = candidate;
  };
  leaving
    .filter((vm) => current.includes(vm))
    .forEach((vm) => tryStep(next.filter((other) => other !== vm)));
  joining.filter((vm) => !current.includes(vm)).forEach((vm) => tryStep([...next, vm]));
  const isUnchanged = next.length === current.length && next.every((vm) => current.includes(vm));
  return isUnchanged ? undefined : next.sort();
};

export default planVoterChange;

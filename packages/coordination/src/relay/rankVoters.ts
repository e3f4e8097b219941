import rankByRendezvous from '../membership/rankByRendezvous';

/**
 * Returns the voters to which an observer may subscribe, preferred first: those of its own data centre,
 * whose view of partitions is its own. The order differs between observers, which spreads them evenly.
 */
const rankVoters = (
  vm: string,
  dataCentre: string,
  voters: readonly { vm: string; dataCentre: string }[],
): string[] => {
  const rank = (isLocal: boolean): string[] =>
    rankByRendezvous(
      voters
        .filter((voter) => (voter.dataCentre === dataCentre) === isLocal)
        .map((voter) => voter.vm),
      vm,
    );
  return [...rank(true), ...rank(false)];
};

export default rankVoters;

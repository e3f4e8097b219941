import rankByRendezvous from '../membership/rankByRendezvous';
import relayRank from './relayRank';

/** One relay of each other data centre, in an order of the VM's own. */
const sourcesElsewhere = (
  vm: string,
  dataCentre: string,
  vmsByDataCentre: ReadonlyMap<string, readonly string[]>,
): string[] => {
  const relays = [...vmsByDataCentre]
    .filter(([other]) => other !== dataCentre)
    .map(([other, vms]) => relayRank(vms, other)[0])
    .filter((id): id is string => id !== undefined);
  return rankByRendezvous(relays, vm);
};

export default sourcesElsewhere;

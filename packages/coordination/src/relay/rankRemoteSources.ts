import rankByRendezvous from '../membership/rankByRendezvous';
import rankRelays from './rankRelays';

/**
 * Returns the first relay of each other data centre, as sources of configuration. The order
 * differs between VMs, which spreads them over the relays.
 */
const rankRemoteSources = (
  vm: string,
  dataCentre: string,
  vmsByDataCentre: ReadonlyMap<string, readonly string[]>,
): string[] => {
  const relays = [...vmsByDataCentre]
    .filter(([otherDataCentre]) => otherDataCentre !== dataCentre)
    .map(([otherDataCentre, vms]) => rankRelays(vms, otherDataCentre)[0])
    .filter((id): id is string => id !== undefined);
  return rankByRendezvous(relays, vm);
};

export default rankRemoteSources;

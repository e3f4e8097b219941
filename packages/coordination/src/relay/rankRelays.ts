import rankByRendezvous from '../membership/rankByRendezvous';

/** Returns a data centre's VMs in the order in which they become relays of the configuration. */
const rankRelays = (vms: Iterable<string>, dataCentre: string): string[] =>
  rankByRendezvous(vms, `relay/${dataCentre}`);

export default rankRelays;

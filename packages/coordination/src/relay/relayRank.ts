import rankByRendezvous from '../membership/rankByRendezvous';

/** Order in which the VMs of a data centre relay configuration; the first ones watch the platform. */
const relayRank = (vms: Iterable<string>, dataCentre: string): string[] =>
  rankByRendezvous(vms, `relay/${dataCentre}`);

export default relayRank;

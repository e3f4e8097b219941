import rankByRendezvous from '../membership/rankByRendezvous';
import type WitnessGroups from './witnessGroups';

interface RegisteredVm {
  id: string;
  dataCentre: string;
}

const WITNESSES_PER_GROUP = 3;
/** With fewer witnesses in its own data centre a VM gets a second group from other ones. */
const MIN_LOCAL_WITNESSES = 2;

/** Orders VMs by rank, but the first one of each data centre before any second one. */
const rankAcrossDataCentres = (vms: readonly RegisteredVm[], rendezvousKey: string): string[] => {
  const dataCentreOf = new Map(vms.map(({ id, dataCentre }) => [id, dataCentre]));
  const ranked = rankByRendezvous(dataCentreOf.keys(), rendezvousKey);
  const dataCentres = ranked.map((id) => dataCentreOf.get(id));
  const firsts = ranked.filter((_, index) => dataCentres.indexOf(dataCentres[index]) === index);
  return [...firsts, ...ranked.filter((id) => !firsts.includes(id))];
};

/**
 * Chooses the witnesses of a VM's lease: up to three VMs of its own data centre, so that the lease
 * can be renewed while that data centre is partitioned. With fewer than two there, a second group
 * from other data centres lets the lease survive the loss of the only local witness.
 */
const chooseWitnessGroups = (
  vms: readonly RegisteredVm[],
  vm: string,
  dataCentre: string,
): WitnessGroups => {
  const others = vms.filter(({ id }) => id !== vm);
  const localVms = others.filter((other) => other.dataCentre === dataCentre);
  const remoteVms = others.filter((other) => other.dataCentre !== dataCentre);
  const rendezvousKey = `lease/${vm}`;
  const localIds = localVms.map(({ id }) => id);
  const localGroup = rankByRendezvous(localIds, rendezvousKey).slice(0, WITNESSES_PER_GROUP);
  const remoteGroup =
    localGroup.length < MIN_LOCAL_WITNESSES
      ? rankAcrossDataCentres(remoteVms, rendezvousKey).slice(0, WITNESSES_PER_GROUP)
      : [];
  return [localGroup, remoteGroup].filter((group) => group.length > 0);
};

export default chooseWitnessGroups;

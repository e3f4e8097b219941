import rankByRendezvous from '../membership/rankByRendezvous';
import type WitnessGroups from './witnessGroups';

interface ListedVm {
  id: string;
  dataCentre: string;
}

const WITNESSES_PER_GROUP = 3;
/** With fewer witnesses in its own data centre a VM has a second group elsewhere. */
const ENOUGH_NEAR = 2;

/** VMs elsewhere in rank order, but one of each data centre before a second one of any. */
const spread = (vms: readonly ListedVm[], subject: string): string[] => {
  const dataCentreOf = new Map(vms.map(({ id, dataCentre }) => [id, dataCentre]));
  const ranked = rankByRendezvous(dataCentreOf.keys(), subject);
  const places = ranked.map((id) => dataCentreOf.get(id));
  const firsts = ranked.filter((_, at) => places.indexOf(places[at]) === at);
  return [...firsts, ...ranked.filter((id) => !firsts.includes(id))];
};

/**
 * The witnesses of a VM's lease: up to three VMs of its own data centre, so that it renews
 * the lease while that is cut off, and with fewer than two there also a group elsewhere, so
 * that it survives the loss of the only neighbour.
 */
const witnessGroupsOf = (
  vms: readonly ListedVm[],
  vm: string,
  dataCentre: string,
): WitnessGroups => {
  const others = vms.filter(({ id }) => id !== vm);
  const near = others.filter((other) => other.dataCentre === dataCentre);
  const far = others.filter((other) => other.dataCentre !== dataCentre);
  const subject = `lease/${vm}`;
  const nearIds = near.map(({ id }) => id);
  const own = rankByRendezvous(nearIds, subject).slice(0, WITNESSES_PER_GROUP);
  const elsewhere =
    own.length < ENOUGH_NEAR ? spread(far, subject).slice(0, WITNESSES_PER_GROUP) : [];
  return [own, elsewhere].filter((group) => group.length > 0);
};

export default witnessGroupsOf;

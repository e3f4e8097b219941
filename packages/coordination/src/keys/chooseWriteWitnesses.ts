import rankRelays from '../relay/rankRelays';

/** A majority of these VMs is notified before a key withdrawal is confirmed. */
const WITNESSES_PER_DATA_CENTRE = 3;

/** Returns the VMs of a data centre that are notified of writes and queried during an outage. */
const chooseWriteWitnesses = (vms: Iterable<string>, dataCentre: string): string[] =>
  rankRelays(vms, dataCentre).slice(0, WITNESSES_PER_DATA_CENTRE);

export default chooseWriteWitnesses;

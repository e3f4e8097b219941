import relayRank from '../relay/relayRank';

/** A majority of these VMs is notified before a key withdrawal is confirmed. */
const WITNESSES_PER_DATA_CENTRE = 3;

/** Returns the VMs of a data centre that are notified of writes and queried during an outage. */
const witnessesOf = (vms: Iterable<string>, dataCentre: string): string[] =>
  relayRank(vms, dataCentre).slice(0, WITNESSES_PER_DATA_CENTRE);

export default witnessesOf;

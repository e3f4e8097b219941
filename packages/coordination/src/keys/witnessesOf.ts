import relayRank from '../relay/relayRank';

/** VMs of a data centre of which a majority is told of each withdrawal. */
const WITNESSES_PER_DATA_CENTRE = 3;

/** The VMs of a data centre that are told of withdrawals and asked about them during an outage. */
const witnessesOf = (vms: Iterable<string>, dataCentre: string): string[] =>
  relayRank(vms, dataCentre).slice(0, WITNESSES_PER_DATA_CENTRE);

export default witnessesOf;

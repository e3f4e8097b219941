/** The VMs that majorities are counted over, as the platform's store records them. */
interface VoterSet {
  /** Rises with each change of the set, over all eras of the store. */
  version: number;
  vms: readonly string[];
}

export default VoterSet;

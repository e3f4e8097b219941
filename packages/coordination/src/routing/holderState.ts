/** What a VM knows when it chooses which holder of a group's connections runs a statement. */
interface HolderState {
  /** VMs that hold connections to the group. */
  holders: readonly { id: string; dataCentre: string }[];
  /** This VM and its data centre. */
  vm: string;
  dataCentre: string;
  /** VMs that said they are shutting down. */
  leaving: ReadonlySet<string>;
  /** VMs that failed a moment ago or at an earlier attempt of the same request. */
  failed: ReadonlySet<string>;
  /** A number in [0, 1) that spreads statements over equal holders. */
  random: number;
}

export default HolderState;

/** Input of `orderHolders`: what this VM knows about the VMs that can run a group's statements. */
interface HolderContext {
  /** VMs that hold a connection slot of the group. */
  holders: readonly { id: string; dataCentre: string }[];
  /** Id of this VM. */
  vm: string;
  /** Data centre of this VM. */
  dataCentre: string;
  /** VMs that announced their shutdown. */
  leaving: ReadonlySet<string>;
  /** VMs that failed recently or in an earlier attempt of the same request. */
  failed: ReadonlySet<string>;
  /** Random number in [0, 1); spreads statements over holders of equal rank. */
  random: number;
}

export default HolderContext;

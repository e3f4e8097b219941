/** Whether the VMs that agree are more than half of the voters; others than voters do not count. */
const isMajority = (voters: readonly string[], agreeing: Iterable<string>): boolean => {
  const agreeingVms = new Set(agreeing);
  return voters.filter((vm) => agreeingVms.has(vm)).length * 2 > voters.length;
};

export default isMajority;

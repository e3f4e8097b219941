import type createMembership from './createMembership';

/** The VMs of the fleet as this VM knows them. */
type Membership = ReturnType<typeof createMembership>;

export default Membership;

import type createMembership from './createMembership';

/** This VM's view of the VMs of the fleet and of the holders of slots. */
type Membership = ReturnType<typeof createMembership>;

export default Membership;

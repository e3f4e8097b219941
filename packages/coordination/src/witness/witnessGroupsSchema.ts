import { z } from 'zod';

/**
 * Groups of witnesses of a VM. Each group alone can renew the VM's lease, so all of them
 * must promise before it can't be renewed. Without a group it never lapses.
 */
const witnessGroupsSchema = z.array(z.array(z.string().min(1)).min(1).max(3)).max(2);

export default witnessGroupsSchema;

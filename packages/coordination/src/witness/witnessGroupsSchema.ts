import { z } from 'zod';

/**
 * The witness groups of a VM's lease. Each group alone can renew it, so only promises from every
 * group prevent renewal. Without any group the lease never expires.
 */
const witnessGroupsSchema = z.array(z.array(z.string().min(1)).min(1).max(3)).max(2);

export default witnessGroupsSchema;

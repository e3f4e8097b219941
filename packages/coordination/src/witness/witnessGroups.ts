import type { z } from 'zod';
import type witnessGroupsSchema from './witnessGroupsSchema';

/** The witness groups of a VM's lease; each group alone can renew it. */
type WitnessGroups = z.infer<typeof witnessGroupsSchema>;

export default WitnessGroups;

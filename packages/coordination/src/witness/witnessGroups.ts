import type { z } from 'zod';
import type witnessGroupsSchema from './witnessGroupsSchema';

/** Groups of witnesses of a VM, each of which can renew its lease. */
type WitnessGroups = z.infer<typeof witnessGroupsSchema>;

export default WitnessGroups;

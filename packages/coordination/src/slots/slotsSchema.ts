import { z } from 'zod';

/** Which VMs hold a group's connection slots; `epoch` rises with each change of a holder. */
const slotsSchema = z.strictObject({
  holders: z.array(z.strictObject({ vm: z.string(), epoch: z.number().int().nonnegative() })),
});

export default slotsSchema;

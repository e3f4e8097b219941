import { z } from 'zod';

const slotHolderSchema = z.strictObject({
  vm: z.string().min(1),
  /** The start of the VM that holds the slot. */
  incarnation: z.number().int().nonnegative(),
  /** Whether the slot was taken from a VM that had not given it back. */
  isTakenOver: z.boolean(),
});

/** Which VMs hold a group's slots, by slot; null: nobody, and nobody has connections by it. */
const slotsSchema = z.strictObject({ holders: z.array(slotHolderSchema.nullable()).max(16) });

export default slotsSchema;

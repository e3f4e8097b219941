import { z } from 'zod';

const slotHolderSchema = z.strictObject({
  vm: z.string().min(1),
  /** Incarnation of the VM that holds the slot. */
  incarnation: z.number().int().nonnegative(),
  /** Whether the slot was taken from a VM that had not released it. */
  isTakenOver: z.boolean(),
});

/** The holder of each of a group's slots; null for a free slot, which has no connections open. */
const slotsRecordSchema = z.strictObject({ holders: z.array(slotHolderSchema.nullable()).max(16) });

export default slotsRecordSchema;

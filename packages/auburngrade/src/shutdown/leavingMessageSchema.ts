import { z } from 'zod';

/** Notice that the VM `vm` is shutting down and accepts no new statements. */
const leavingMessageSchema = z.strictObject({ vm: z.string().min(1) });

export default leavingMessageSchema;

import { z } from 'zod';

/** Says that the sending VM is shutting down and takes no new statements. */
const leavingMessageSchema = z.strictObject({ vm: z.string().min(1) });

export default leavingMessageSchema;

import { z } from 'zod';
import nameSchema from './nameSchema';

/** A VM's entry in the platform's list; the list may be out of date. */
const vmSchema = z.strictObject({
  dataCentre: nameSchema,
  host: z.string().min(1),
  vmPort: z.number().int().min(1).max(65_535),
  callerPort: z.number().int().min(1).max(65_535),
  state: z.enum(['live', 'leaving']).default('live'),
});

export default vmSchema;

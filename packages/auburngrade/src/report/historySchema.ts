import { z } from 'zod';
import sampleSchema from './sampleSchema';

/** Samples kept in a file between runs of the report. */
const historySchema = z.object({ version: z.literal(1), samples: z.array(sampleSchema) });

export default historySchema;

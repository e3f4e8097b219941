import { z } from 'zod';

/** An operator's document as stored: with the ids of its latest changes, newest first. */
const storedDocumentSchema = z.strictObject({
  document: z.unknown(),
  changeIds: z.array(z.string()),
});

export default storedDocumentSchema;

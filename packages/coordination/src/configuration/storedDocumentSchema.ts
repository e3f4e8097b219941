import { z } from 'zod';

/** The stored form of an operator's document, with the ids of its latest changes, newest first. */
const storedDocumentSchema = z.strictObject({
  document: z.unknown(),
  changeIds: z.array(z.string()),
});

export default storedDocumentSchema;

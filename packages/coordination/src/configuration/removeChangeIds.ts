import storedDocumentSchema from './storedDocumentSchema';

/** Returns a stored value without its change ids: only writers use them, and read the store. */
const removeChangeIds = (valueJson: string): string => {
  try {
    const parsed = storedDocumentSchema.safeParse(JSON.parse(valueJson));
    return parsed.success ? JSON.stringify(parsed.data.document) : valueJson;
  } catch {
    return valueJson;
  }
};

export default removeChangeIds;

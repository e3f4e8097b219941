import storedDocumentSchema from './storedDocumentSchema';

/** A stored value without its change ids, which only writers need; they read the platform. */
const withoutChangeIds = (valueJson: string): string => {
  try {
    const parsed = storedDocumentSchema.safeParse(JSON.parse(valueJson));
    return parsed.success ? JSON.stringify(parsed.data.document) : valueJson;
  } catch {
    return valueJson;
  }
};

export default withoutChangeIds;

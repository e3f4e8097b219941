import storedDocumentSchema from './storedDocumentSchema';

/** Ids of the latest changes kept with a stored value, newest first. */
const changeIdsOf = (valueJson: string | undefined): string[] => {
  if (valueJson === undefined) return [];
  const parsed = storedDocumentSchema.safeParse(JSON.parse(valueJson));
  return parsed.success ? parsed.data.changeIds : [];
};

export default changeIdsOf;

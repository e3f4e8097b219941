import storedDocumentSchema from './storedDocumentSchema';

/** Returns the change ids of a stored value, newest first. @throws SyntaxError */
const parseChangeIds = (valueJson: string | undefined): string[] => {
  if (valueJson === undefined) return [];
  const parsed = storedDocumentSchema.safeParse(JSON.parse(valueJson));
  return parsed.success ? parsed.data.changeIds : [];
};

export default parseChangeIds;

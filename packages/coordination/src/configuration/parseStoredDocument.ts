import storedDocumentSchema from './storedDocumentSchema';

/** Returns the document of a stored value, with or without change ids. @throws SyntaxError */
const parseStoredDocument = (valueJson: string): unknown => {
  const value: unknown = JSON.parse(valueJson);
  const parsed = storedDocumentSchema.safeParse(value);
  return parsed.success ? parsed.data.document : value;
};

export default parseStoredDocument;

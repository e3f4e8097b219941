import storedDocumentSchema from './storedDocumentSchema';

/** The document in a stored value, with or without its change ids. @throws SyntaxError */
const documentIn = (valueJson: string): unknown => {
  const value: unknown = JSON.parse(valueJson);
  const parsed = storedDocumentSchema.safeParse(value);
  return parsed.success ? parsed.data.document : value;
};

export default documentIn;

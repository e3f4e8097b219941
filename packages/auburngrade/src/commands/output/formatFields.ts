const textOf = (value: unknown): string =>
  typeof value === 'string' ? value : JSON.stringify(value);

/** Formats an object as one "name: value" line a field. */
const formatFields = (fields: object): string =>
  Object.entries(fields)
    .filter(([, value]) => value !== undefined && value !== '')
    .map(([name, value]) => `${name}: ${textOf(value)}`)
    .join('\n');

export default formatFields;

import phraseCodes from './phraseCodes';

const escapeBrackets = (phrase: string): string => phrase.replace(/[{}[\]]/g, '\\$&');

const PATTERN = new RegExp([...phraseCodes.keys()].map(escapeBrackets).join('|'), 'g');

/**
 * Compresses JSON text by replacing frequent phrases with one control character each;
 * `unpackJson` restores it. The text must be valid JSON: other text may contain such characters.
 */
const packJson = (json: string): string =>
  json.replace(PATTERN, (phrase) => phraseCodes.get(phrase) ?? phrase);

export default packJson;

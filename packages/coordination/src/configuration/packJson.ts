import packedPhrases from './packedPhrases';

const escaped = (phrase: string): string => phrase.replace(/[{}[\]]/g, '\\$&');

const PATTERN = new RegExp([...packedPhrases.keys()].map(escaped).join('|'), 'g');

/**
 * Shortens JSON text by characters that stand for frequent phrases; `unpackJson` gives the same
 * text again. It must be valid JSON: other text may have those characters itself.
 */
const packJson = (json: string): string =>
  json.replace(PATTERN, (phrase) => packedPhrases.get(phrase) ?? phrase);

export default packJson;

import packedPhrases from './packedPhrases';

const phraseOf = new Map([...packedPhrases].map(([phrase, code]) => [code, phrase]));

const PATTERN = new RegExp(`[${[...phraseOf.keys()].join('')}]`, 'g');

/** The text that `packJson` shortened. */
const unpackJson = (packed: string): string =>
  packed.replace(PATTERN, (code) => phraseOf.get(code) ?? code);

export default unpackJson;

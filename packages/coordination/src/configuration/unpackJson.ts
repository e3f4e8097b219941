import phraseCodes from './phraseCodes';

const phraseByCode = new Map([...phraseCodes].map(([phrase, code]) => [code, phrase]));

const PATTERN = new RegExp(`[${[...phraseByCode.keys()].join('')}]`, 'g');

/** Restores the JSON text that `packJson` compressed. */
const unpackJson = (packed: string): string =>
  packed.replace(PATTERN, (code) => phraseByCode.get(code) ?? code);

export default unpackJson;

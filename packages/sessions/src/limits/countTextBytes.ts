const TWO_BYTE_CHARACTER = /[\u0100-\uffff]/;

/** Bytes that V8 holds for the characters of a text: two each unless all of them are Latin-1, else one. */
const countTextBytes = (text: string): number =>
  TWO_BYTE_CHARACTER.test(text) ? 2 * text.length : text.length;

export default countTextBytes;

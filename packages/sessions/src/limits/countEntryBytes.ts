import countTextBytes from './countTextBytes';

/** What V8 takes for an entry of a map and the headers of two strings, however short they are. */
const ENTRY_BYTES = 100;

/** Bytes that V8 holds for a named text in a map. */
const countEntryBytes = (name: string, text: string): number =>
  ENTRY_BYTES + countTextBytes(name) + countTextBytes(text);

export default countEntryBytes;

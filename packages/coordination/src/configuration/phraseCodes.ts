/** Frequent phrases of documents, longest first so that the longest match is replaced. */
const PHRASES = [
  '{"name":"',
  '","dataCentre":"',
  '","host":"',
  '","port":',
  ',"replicationPort":',
  ',"state":"active"',
  '"connectionBudget":',
  '"members":[',
  '{"term":',
  ',"startPosition":',
  '"primary":"',
  '"promoter":"',
  '"voters":["',
  '"history":[',
  '{"holders":[',
  '{"vm":"',
  '","incarnation":',
  ',"isTakenOver":',
  '{"account":"',
  ',"withdrawn":',
  '{"limit":{"ratePerS":',
  ',"burst":',
  '},"weight":',
  'false}',
  '","',
].sort((one, other) => other.length - one.length);

/** Control characters that JSON text never contains: escaped in strings, and not white space. */
const CODES = [
  ...'\u0001\u0002\u0003\u0004\u0005\u0006\u0007\u0008\u000e\u000f\u0010\u0011\u0012\u0013',
  ...'\u0014\u0015\u0016\u0017\u0018\u0019\u001a\u001b\u001c\u001d\u001e\u001f',
];

/** Each phrase with the character that replaces it in packed text. */
const phraseCodes: ReadonlyMap<string, string> = new Map(
  PHRASES.map((phrase, index) => [phrase, CODES[index] ?? phrase]),
);

export default phraseCodes;

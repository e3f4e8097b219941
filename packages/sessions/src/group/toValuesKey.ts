import { createHash } from 'node:crypto';

/** Keys of values that are in use. */
const keys = new WeakMap<ReadonlyMap<string, string>, string>();

/** Digest of session values, which must not change any more: equal for equal values only, empty when there are none. */
const toValuesKey = (values: ReadonlyMap<string, string>): string => {
  if (values.size === 0) return '';
  const known = keys.get(values);
  if (known !== undefined) return known;
  const hash = createHash('sha256');
  [...values]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .flat()
    // With its length, since nothing else tells where a text ends.
    .forEach((text) => hash.update(`${text.length} `).update(text));
  const key = hash.digest('base64');
  keys.set(values, key);
  return key;
};

export default toValuesKey;

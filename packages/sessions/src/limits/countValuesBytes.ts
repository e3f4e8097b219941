import countEntryBytes from './countEntryBytes';

/** Counts of values that are in use. */
const counts = new WeakMap<ReadonlyMap<string, string>, number>();

/** Bytes that V8 holds for session values, which must not change any more. */
const countValuesBytes = (values: ReadonlyMap<string, string>): number => {
  if (values.size === 0) return 0;
  const known = counts.get(values);
  if (known !== undefined) return known;
  const byteCount = [...values].reduce(
    (sum, [name, value]) => sum + countEntryBytes(name, value),
    0,
  );
  counts.set(values, byteCount);
  return byteCount;
};

export default countValuesBytes;

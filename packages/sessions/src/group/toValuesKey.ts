/** Serializes session values canonically: equal for equal values, empty when there are none. */
const toValuesKey = (values: ReadonlyMap<string, string>): string =>
  values.size === 0 ? '' : JSON.stringify([...values].sort(([a], [b]) => (a < b ? -1 : 1)));

export default toValuesKey;

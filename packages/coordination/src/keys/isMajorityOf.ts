/** Whether `some` holds more than half of `all`. */
const isMajorityOf = (some: ReadonlySet<string>, all: readonly string[]): boolean =>
  all.filter((id) => some.has(id)).length > all.length / 2;

export default isMajorityOf;

/** Whether `subset` contains more than half of `all`. */
const containsMajorityOf = (subset: ReadonlySet<string>, all: readonly string[]): boolean =>
  all.filter((id) => subset.has(id)).length > all.length / 2;

export default containsMajorityOf;

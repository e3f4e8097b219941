/** Keeps when each evacuation began, and begins those that are new now; times are in ms. */
const updateEvacuationStarts = (
  startsMs: ReadonlyMap<string, number>,
  dataCentres: readonly string[],
  nowMs: number,
): ReadonlyMap<string, number> =>
  new Map(dataCentres.map((dataCentre) => [dataCentre, startsMs.get(dataCentre) ?? nowMs]));

export default updateEvacuationStarts;

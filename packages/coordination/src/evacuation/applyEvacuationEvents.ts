/** A change of one data centre's evacuation, at a revision of the store. */
interface EvacuationEvent {
  dataCentre: string;
  isEvacuated: boolean;
  revision: number;
}

interface EvacuationState {
  /** Evacuated data centres, sorted. */
  dataCentres: readonly string[];
  /** Revision up to which changes are included. */
  revision: number;
}

/** Applies changes in the order of their revisions; those that the state already includes are ignored. */
const applyEvacuationEvents = (
  state: EvacuationState,
  events: readonly EvacuationEvent[],
): EvacuationState => {
  const later = events
    .filter(({ revision }) => revision > state.revision)
    .sort((a, b) => a.revision - b.revision);
  const dataCentres = new Set(state.dataCentres);
  later.forEach(({ dataCentre, isEvacuated }) => {
    if (isEvacuated) dataCentres.add(dataCentre);
    else dataCentres.delete(dataCentre);
  });
  return {
    dataCentres: [...dataCentres].sort(),
    revision: later.at(-1)?.revision ?? state.revision,
  };
};

export default applyEvacuationEvents;

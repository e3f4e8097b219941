import type EndpointUse from './endpointUse';
import type EvacuationPhase from './evacuationPhase';

interface EndpointState {
  /** How far the evacuation of the endpoint's data centre is. */
  phase: EvacuationPhase;
  isLeaving: boolean;
  isPrimary: boolean;
}

/**
 * Decides what an endpoint is used for. The primary of a data centre that is being evacuated serves until it is
 * replaced or the last phase begins, since nothing else can serve writes.
 */
const decideEndpointUse = ({ phase, isLeaving, isPrimary }: EndpointState): EndpointUse => {
  const isContacted = phase !== 'evacuated';
  const isStaying = phase === 'inService' && !isLeaving;
  return {
    acceptsNewWork: isStaying || (isPrimary && isContacted),
    mayContinueWork: isContacted,
    isCandidate: isStaying,
    isContacted,
  };
};

export default decideEndpointUse;

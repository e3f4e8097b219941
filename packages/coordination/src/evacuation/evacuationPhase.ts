/**
 * How far the evacuation of a data centre is, as one VM sees it. `evacuating`: its endpoints get no new work, and
 * primaries there are being replaced. `evacuated`: nothing is sent to its endpoints.
 */
type EvacuationPhase = 'inService' | 'evacuating' | 'evacuated';

export default EvacuationPhase;

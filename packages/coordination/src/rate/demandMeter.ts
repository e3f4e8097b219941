import type createDemandMeter from './createDemandMeter';

/** Measures how many requests a second arrive. */
type DemandMeter = ReturnType<typeof createDemandMeter>;

export default DemandMeter;

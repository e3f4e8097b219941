/** Arrivals are counted in steps of this width. */
const ARRIVAL_STEP_MS = 10;

export default ARRIVAL_STEP_MS;

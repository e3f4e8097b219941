/** Number of VMs of a data centre that watch the platform and relay its changes. */
const RELAYS_PER_DATA_CENTRE = 2;

export default RELAYS_PER_DATA_CENTRE;

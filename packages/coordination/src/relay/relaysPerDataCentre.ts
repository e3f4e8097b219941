/** How many VMs of a data centre watch the platform. */
const RELAYS_PER_DATA_CENTRE = 2;

export default RELAYS_PER_DATA_CENTRE;

/** Connections of a slot's VM to each member that only status polls and promotions use. */
const CONTROL_CONNECTIONS = 1;

export default CONTROL_CONNECTIONS;

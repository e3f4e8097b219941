/** Connections of a slot holder to each member, reserved for status polls and promotions. */
const CONTROL_CONNECTIONS = 1;

export default CONTROL_CONNECTIONS;

/** Units into which an account's rate and burst are divided; a VM holds a whole number of them. */
const WHOLE_UNITS = 1_000_000;

export default WHOLE_UNITS;

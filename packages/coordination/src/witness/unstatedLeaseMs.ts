/** A lease of this length does not state it, so that earlier versions can read what names it. */
const UNSTATED_LEASE_MS = 3_000;

export default UNSTATED_LEASE_MS;

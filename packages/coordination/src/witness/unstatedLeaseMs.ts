/** Default lease length, which messages and records omit so that earlier versions can read them. */
const UNSTATED_LEASE_MS = 3_000;

export default UNSTATED_LEASE_MS;

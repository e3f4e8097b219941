/** Row of a request id in the request table of a primary. */
interface RequestRow {
  /** `run` is written in the statement's transaction, `cancelled` by a lookup that found no row. */
  state: 'run' | 'cancelled';
  /** The stored reply as JSON; null when none was stored. */
  result: string | null;
  /** Hash that tells different statements with one id apart; null when not recorded. */
  fingerprint: string | null;
}

export default RequestRow;

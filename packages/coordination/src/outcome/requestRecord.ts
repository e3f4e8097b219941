/** The row that a request's id has on a primary. */
interface RequestRecord {
  /** `run` was written with the effect, `cancelled` by a lookup that found no row. */
  state: 'run' | 'cancelled';
  /** The stored answer, as JSON. */
  result: string | null;
  /** Tells statements under one id apart; absent when it was not recorded. */
  fingerprint: string | null;
}

export default RequestRecord;

/** One row as written by a committed transaction. */
interface Change {
  table: string;
  key: string;
  row: Record<string, string | null>;
}

export default Change;

/** Result of one statement; values are text, or null for SQL NULL. */
interface QueryResult {
  columns: string[];
  rows: (string | null)[][];
  command: string;
  rowCount: number;
}

export default QueryResult;

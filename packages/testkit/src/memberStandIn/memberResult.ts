/** The result of one statement on a stand-in member. */
interface MemberResult {
  columns: string[];
  rows: (string | null)[][];
  command: string;
}

export default MemberResult;

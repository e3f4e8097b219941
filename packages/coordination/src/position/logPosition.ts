/** A position in a group's log: numbers grow within a term, and terms grow with each new primary. */
interface LogPosition {
  term: number;
  number: number;
}

export default LogPosition;

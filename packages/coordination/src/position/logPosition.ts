/** A position in a group's log: `number` increases within a term, `term` with each new primary. */
interface LogPosition {
  term: number;
  number: number;
}

export default LogPosition;

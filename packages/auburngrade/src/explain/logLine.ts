/** One line of a daemon's log. */
interface LogLine {
  at: string;
  vm: string;
  event: string;
  request?: string;
  group?: string;
  [field: string]: unknown;
}

export default LogLine;

/** Event of a daemon's log lines that carry a recorded trace. */
const TRACE_EVENT = 'trace.line';

export default TRACE_EVENT;

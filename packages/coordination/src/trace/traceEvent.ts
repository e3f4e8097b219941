/** Event name of the log lines in which a daemon records a trace. */
const TRACE_EVENT = 'trace.line';

export default TRACE_EVENT;

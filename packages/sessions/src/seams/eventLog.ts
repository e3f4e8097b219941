/** Structured event log; `fields` must not contain keys or statements. */
interface EventLog {
  info(event: string, fields?: Record<string, unknown>): void;
  warn(event: string, fields?: Record<string, unknown>): void;
}

export default EventLog;

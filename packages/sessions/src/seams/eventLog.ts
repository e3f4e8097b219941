/** Writes structured log lines; `fields` never carry keys or statements. */
interface EventLog {
  info(event: string, fields?: Record<string, unknown>): void;
  warn(event: string, fields?: Record<string, unknown>): void;
}

export default EventLog;

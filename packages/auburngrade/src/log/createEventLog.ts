import log from 'loglevel';
import type { EventLog } from '@auburngrade/sessions';
import createEventBudget from './createEventBudget';

const SUMMARY_INTERVAL_MS = 1_000;
/** Longest text of a field, in characters: a caller chooses its request ids, which may be as long as a message. */
const MAX_TEXT_LENGTH = 4_000;

interface EventLogOptions {
  vm: string;
  nowMs(): number;
  write(line: string): boolean;
}

const shortenText = (_key: string, value: unknown): unknown =>
  typeof value === 'string' && value.length > MAX_TEXT_LENGTH
    ? `${value.slice(0, MAX_TEXT_LENGTH)}…`
    : value;

/** Creates a rate-limited log with one JSON object per line; suppressed and dropped lines are counted. */
const createEventLog = ({ vm, nowMs, write }: EventLogOptions) => {
  const budget = createEventBudget();
  const target = log.getLogger(vm);
  let dropped = 0;

  const writeLine = (level: string, event: string, fields?: Record<string, unknown>): void => {
    const at = new Date().toISOString();
    const line = { at, ageMs: Math.round(nowMs()), level, vm, event, ...fields };
    if (!write(`${JSON.stringify(line, shortenText)}\n`)) dropped += 1;
  };
  target.methodFactory = (level) => (event: string, fields?: Record<string, unknown>) => {
    const { isAdmitted, leftOutBefore } = budget.admit(event, nowMs());
    if (leftOutBefore > 0) writeLine('info', 'log.leftOut', { of: event, lines: leftOutBefore });
    if (isAdmitted) writeLine(level, event, fields);
  };
  target.setLevel('info', false);
  const timer = setInterval(() => {
    budget
      .drain(nowMs())
      .forEach(({ event, leftOut }) =>
        writeLine('info', 'log.leftOut', { of: event, lines: leftOut }),
      );
    if (dropped > 0) {
      const lines = dropped;
      dropped = 0;
      writeLine('warn', 'log.dropped', { lines });
    }
  }, SUMMARY_INTERVAL_MS);
  timer.unref();

  const eventLog: EventLog = {
    info: (event, fields) => target.info(event, fields),
    warn: (event, fields) => target.warn(event, fields),
  };
  return eventLog;
};

export default createEventLog;

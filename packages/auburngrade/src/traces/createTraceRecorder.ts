import { TRACE_EVENT, type TraceLine } from '@auburngrade/coordination';
import type Logger from '../log/logger';

interface RecorderOptions {
  logger: Logger;
  /** Name of the decision that is recorded. */
  decision: string;
  /** Tells the traces of one daemon apart. */
  trace: string;
  /** Monotonic time at which the trace begins. */
  startedAtMs: number;
}

const VERSION = 1;

/**
 * Writes what a decision is told, and what it answers, to the log at level `debug`, in the
 * format of recorded traces: the lines of one trace, taken out of the log, can be replayed.
 */
const createTraceRecorder = ({ logger, decision, trace, startedAtMs }: RecorderOptions) => {
  const write = (line: TraceLine): void => logger.debug(TRACE_EVENT, { trace, line });

  write({
    kind: 'header',
    schema: 'auburngrade-trace',
    version: VERSION,
    decision,
    note: `recorded by a daemon: ${trace}`,
  });

  return {
    /** Records one input; `nowMs` is the monotonic time that the decision was given. */
    event: (name: string, input: unknown, nowMs: number): void =>
      write({ kind: 'event', atMs: nowMs - startedAtMs, name, input }),
    /** Records what the decision answered to the events before. */
    expect: (name: string, value: unknown, nowMs: number): void =>
      write({ kind: 'expect', atMs: nowMs - startedAtMs, name, input: null, value }),
  };
};

export default createTraceRecorder;

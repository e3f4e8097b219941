import { TRACE_EVENT } from '@auburngrade/coordination';

interface LogLine {
  event?: string;
  trace?: string;
  line?: unknown;
}

const parse = (text: string): LogLine => {
  try {
    return JSON.parse(text) as LogLine;
  } catch {
    return {};
  }
};

/** Takes the recorded traces out of a daemon's log: the text of each trace by its name. */
const linesOfTraces = (log: string): Map<string, string> =>
  log
    .split('\n')
    .map(parse)
    .reduce((found, { event, trace, line }) => {
      if (event !== TRACE_EVENT || !trace) return found;
      return found.set(trace, `${found.get(trace) ?? ''}${JSON.stringify(line)}\n`);
    }, new Map<string, string>());

export default linesOfTraces;

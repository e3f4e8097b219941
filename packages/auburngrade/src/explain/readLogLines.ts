import type LogLine from './logLine';

const isLogLine = (value: unknown): value is LogLine =>
  typeof value === 'object' &&
  value !== null &&
  ['at', 'vm', 'event'].every((field) => typeof (value as LogLine)[field] === 'string');

/** Parses the log lines in a text; prefixes and lines of other programs are skipped. */
const readLogLines = (text: string): LogLine[] =>
  text.split('\n').flatMap((line) => {
    const start = line.indexOf('{');
    if (start < 0) return [];
    try {
      const value: unknown = JSON.parse(line.slice(start));
      return isLogLine(value) ? [value] : [];
    } catch {
      return [];
    }
  });

export default readLogLines;

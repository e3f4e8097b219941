import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';

/** Lines that wait for a slow reader; more are dropped and counted. */
const MAX_WAITING_BYTES = 256 * 1_024;
const STANDARD_OUTPUT = 1;

/**
 * Writes lines to standard output without ever blocking: a pipe whose reader stopped would hold up
 * the whole process otherwise. Returns false for a line that was dropped.
 */
const openStandardOutput = (): ((line: string) => boolean) => {
  const stats = fstatSync(STANDARD_OUTPUT);
  const stream =
    stats.isFIFO() || stats.isSocket()
      ? new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true })
      : process.stdout;
  // The reader went away: there is nobody left to tell.
  stream.on('error', () => undefined);
  return (line) => {
    if (stream.writableLength > MAX_WAITING_BYTES || stream.destroyed) return false;
    stream.write(line);
    return true;
  };
};

export default openStandardOutput;

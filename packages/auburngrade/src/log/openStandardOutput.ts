import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';

/** Bytes buffered for a slow reader; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 256 * 1_024;
const STDOUT_FD = 1;

/**
 * Returns a function that writes a line to standard output without blocking; otherwise a pipe whose
 * reader has stopped would block the whole process. It returns false for a dropped line.
 */
const openStandardOutput = (): ((line: string) => boolean) => {
  const stats = fstatSync(STDOUT_FD);
  const stream =
    stats.isFIFO() || stats.isSocket()
      ? new Socket({ fd: STDOUT_FD, readable: false, writable: true })
      : process.stdout;
  // The reader has closed the pipe, so the error cannot be logged.
  stream.on('error', () => undefined);
  return (line) => {
    if (stream.writableLength > MAX_BUFFERED_BYTES || stream.destroyed) return false;
    stream.write(line);
    return true;
  };
};

export default openStandardOutput;

import { appendFileSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Writes what was sent, answered and run to a file, one line each with the time since the start. */
const createRecord = (path) => {
  const startedAtMs = performance.now();
  writeFileSync(path, '');
  return (event, fields = {}) => {
    const atMs = Math.round(performance.now() - startedAtMs);
    appendFileSync(path, `${String(atMs).padStart(6)} ${event} ${JSON.stringify(fields)}\n`);
  };
};

export default createRecord;

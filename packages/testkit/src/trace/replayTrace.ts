import { isDeepStrictEqual } from 'node:util';
import { traceLineSchema } from '@auburngrade/coordination';
import type TraceDriver from './traceDriver';

interface Mismatch {
  line: number;
  expected: unknown;
  actual: unknown;
}

/**
 * Replays a trace of JSON lines and returns each stated outcome that did not hold.
 * @throws Error when the header is missing, a line does not parse, or time runs backwards.
 */
const replayTrace = (text: string, decision: string, driver: TraceDriver): Mismatch[] => {
  const lines = text
    .split('\n')
    .filter((line) => line.trim() !== '')
    .map((line) => traceLineSchema.parse(JSON.parse(line)));
  const [header, ...steps] = lines;
  if (header?.kind !== 'header' || header.decision !== decision) {
    throw new Error(`not a trace of ${decision}`);
  }
  const mismatches: Mismatch[] = [];
  let nowMs = 0;
  steps.forEach((step, index) => {
    if (step.kind === 'header') throw new Error('a trace has one header');
    if (step.atMs < nowMs) throw new Error(`line ${index + 2}: time runs backwards`);
    nowMs = step.atMs;
    if (step.kind === 'event') {
      driver.apply(step.name, step.input, step.atMs);
      return;
    }
    const actual = driver.observe(step.name, step.input, step.atMs);
    if (isDeepStrictEqual(actual, step.value)) return;
    mismatches.push({ line: index + 2, expected: step.value, actual });
  });
  return mismatches;
};

export default replayTrace;

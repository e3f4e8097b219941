import { mkdirSync, writeFileSync } from 'node:fs';

const INDENT_SPACES = 2;

/** Writes a result as JSON below `out/`. */
const writeResult = (name: string, result: unknown): void => {
  mkdirSync('out', { recursive: true });
  writeFileSync(`out/${name}.json`, `${JSON.stringify(result, null, INDENT_SPACES)}\n`);
  console.log(`written: out/${name}.json`);
};

export default writeResult;

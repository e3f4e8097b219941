import { execFileSync } from 'node:child_process';
import { cpus } from 'node:os';

/** Says which code ran, when and on what. */
const runInfo = () => ({
  commit: execFileSync('git', ['describe', '--always', '--dirty'], { encoding: 'utf8' }).trim(),
  date: new Date().toISOString(),
  node: process.version,
  cores: cpus().length,
});

export default runInfo;

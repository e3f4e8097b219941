import { existsSync } from 'node:fs';
import { resolve } from 'node:path';

/** Path of a file that the build makes. @throws Error when the build has not run. */
const programPath = (name: string): string => {
  const path = resolve(import.meta.dirname, '../../../../dist', name);
  if (!existsSync(path)) throw new Error(`${name} is missing: run npm run build first`);
  return path;
};

export default programPath;

import { existsSync, readFileSync } from 'node:fs';
import historySchema from './historySchema';
import type Sample from './sample';

/** Reads the samples of earlier runs; none when the file does not exist yet. */
const readHistory = (file: string | undefined): Sample[] => {
  if (file === undefined || !existsSync(file)) return [];
  return historySchema.parse(JSON.parse(readFileSync(file, 'utf8'))).samples;
};

export default readHistory;

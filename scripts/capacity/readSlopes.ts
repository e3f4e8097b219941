import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { z } from 'zod';
import type MeasuredDimension from './measuredDimension';
import measuredDimensionSchema from './measuredDimensionSchema';
import slopesRunSchema from './slopesRunSchema';

const OUT = 'out';

const readRun = (file: string): MeasuredDimension[] => {
  const { commit, date, results } = slopesRunSchema.parse(JSON.parse(readFileSync(file, 'utf8')));
  return results.map(({ rows, ...result }) => ({
    ...result,
    commit,
    date,
    sizes: rows.map(({ size }) => size),
  }));
};

const readRuns = (): MeasuredDimension[] =>
  existsSync(OUT)
    ? readdirSync(OUT)
        .filter((name) => /^slopes.*\.json$/.test(name))
        .flatMap((name) => readRun(join(OUT, name)))
    : [];

/** The latest run of each dimension: of those kept in `keptFile` and those below `out/`. */
const readSlopes = (keptFile: string): MeasuredDimension[] => {
  const kept = z.array(measuredDimensionSchema).parse(JSON.parse(readFileSync(keptFile, 'utf8')));
  const latest = new Map(kept.map((dimension) => [dimension.name, dimension]));
  readRuns()
    .filter(({ name, date }) => date > (latest.get(name)?.date ?? ''))
    .forEach((dimension) => latest.set(dimension.name, dimension));
  return [...latest.values()];
};

export default readSlopes;

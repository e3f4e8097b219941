import formatRows from './measurement/formatRows';
import runInfo from './measurement/runInfo';
import writeResult from './measurement/writeResult';
import accountsDimension from './slopes/accountsDimension';
import changesDimension from './slopes/changesDimension';
import connectionsDimension from './slopes/connectionsDimension';
import type Dimension from './slopes/dimension';
import documentsDimension from './slopes/documentsDimension';
import fitLine from './slopes/fitLine';
import forwardedDimension from './slopes/forwardedDimension';
import groupsDimension from './slopes/groupsDimension';
import heapDimension from './slopes/heapDimension';
import heartbeatsDimension from './slopes/heartbeatsDimension';
import statementsDimension from './slopes/statementsDimension';
import vmsDimension from './slopes/vmsDimension';

/** Runs each dimension size by size: `npm run slopes -- vms groups` runs only those named. */
const DIMENSIONS: Dimension[] = [
  vmsDimension,
  groupsDimension,
  accountsDimension,
  documentsDimension,
  heapDimension,
  heartbeatsDimension,
  changesDimension,
  connectionsDimension,
  statementsDimension,
  forwardedDimension,
];
const MAX_RUN_MS = 20 * 60_000;

type Row = Record<string, number>;

const slopesOf = (rows: Row[]) =>
  Object.keys(rows[0] ?? {})
    .filter((measure) => measure !== 'size')
    .map((measure) => {
      const points = rows.map((row) => ({ x: row.size ?? 0, y: row[measure] ?? 0 }));
      return { measure, ...fitLine(points) };
    });

const run = async ({ name, unit, sizes, measure }: Dimension) => {
  const rows: Row[] = [];
  const failures: string[] = [];
  for (const size of sizes) {
    try {
      rows.push({ size, ...(await measure(size)) });
    } catch (error) {
      failures.push(`size ${size}: ${error instanceof Error ? error.message : String(error)}`);
    }
  }
  const slopes = slopesOf(rows);
  console.log(`\n## ${name}: per ${unit}\n\n${formatRows(rows)}\n`);
  console.log(
    formatRows(
      slopes.map(({ measure: field, base, slope }) => ({
        field,
        base,
        slope: slope.toPrecision(3),
      })),
    ),
  );
  failures.forEach((failure) => console.log(`failed: ${failure}`));
  return { name, unit, rows, slopes, failures };
};

process.setMaxListeners(0);
setTimeout(() => {
  console.error('slopes took too long');
  process.exit(1);
}, MAX_RUN_MS).unref();

const wanted = process.argv.slice(2);
const chosen = DIMENSIONS.filter(({ name }) => wanted.length === 0 || wanted.includes(name));
const info = runInfo();
const name = wanted.length === 0 ? 'slopes' : `slopes-${wanted.join('-')}`;
const results = [];
for (const dimension of chosen) {
  results.push(await run(dimension));
  writeResult(name, { ...info, results });
}
console.log(JSON.stringify(info));
process.exit(results.some(({ failures }) => failures.length > 0) ? 1 : 0);

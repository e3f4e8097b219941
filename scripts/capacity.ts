import { readFileSync, writeFileSync } from 'node:fs';
import { format } from 'prettier';
import capacityRows from './capacity/capacityRows';
import createSlopeReader from './capacity/createSlopeReader';
import platformRow from './capacity/platformRow';
import sizes from './capacity/sizes';
import slopesSchema from './capacity/slopesSchema';
import formatRows from './measurement/formatRows';

/** Writes the figures that follow from `out/slopes.json` into docs/CAPACITY.md. */
const PAGE = 'docs/CAPACITY.md';
const BEGIN = '<!-- figures: npm run capacity -->';
const END = '<!-- end of figures -->';

const slopes = slopesSchema.parse(JSON.parse(readFileSync('out/slopes.json', 'utf8')));
const reader = createSlopeReader(slopes);
const PRECISION = 3;

const slopeRows = slopes.results.flatMap(({ name, unit, rows, slopes: fitted, failures }) =>
  fitted
    .filter(({ measure }) =>
      /^(vm(Cpu|Resident|Bytes)|platform|holder|relay|heap|spread)/.test(measure),
    )
    .filter(({ measure, slope }) => !/Max$/.test(measure) && Math.abs(slope) > 0)
    .map(({ measure, base, slope }) => ({
      dimension: `${name} (${unit})`,
      measure,
      base: base.toPrecision(PRECISION),
      slope: slope.toPrecision(PRECISION),
      sizes: rows.map(({ size }) => size).join(', '),
      failed: failures.length,
    })),
);
const figures = [
  BEGIN,
  `Run: \`npm run slopes\`, commit ${slopes.commit}, ${slopes.date}, Node ${slopes.node}, ${slopes.cores} cores.`,
  '### Slopes',
  formatRows(slopeRows),
  '### A daemon two years out',
  formatRows(capacityRows(reader, sizes.future)),
  "### The platform's service",
  formatRows([
    { size: 'today', ...platformRow(reader, sizes.today) },
    { size: 'two years out', ...platformRow(reader, sizes.future) },
  ]),
  END,
].join('\n\n');

const page = readFileSync(PAGE, 'utf8');
const before = page.slice(0, page.indexOf(BEGIN));
const after = page.slice(page.indexOf(END) + END.length);
writeFileSync(PAGE, await format(before + figures + after, { parser: 'markdown' }));
console.log(figures);

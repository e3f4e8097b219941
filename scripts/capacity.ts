import { readFileSync, writeFileSync } from 'node:fs';
import { format, resolveConfig } from 'prettier';
import capacityRows from './capacity/capacityRows';
import createSlopeReader from './capacity/createSlopeReader';
import platformRow from './capacity/platformRow';
import readSlopes from './capacity/readSlopes';
import sizes from './capacity/sizes';
import formatRows from './measurement/formatRows';

/** Writes the figures of the capacity page from the latest run of each dimension, and keeps those runs. */
const PAGE = 'docs/CAPACITY.md';
const KEPT_SLOPES = 'docs/capacity-slopes.json';
const BEGIN = '<!-- figures: npm run capacity -->';
const END = '<!-- end of figures -->';
const PRECISION = 3;

const dimensions = readSlopes(KEPT_SLOPES);
const reader = createSlopeReader(dimensions);

const runRows = dimensions.map(({ name, unit, commit, date, sizes: measured, failures }) => ({
  dimension: name,
  'one step': unit,
  commit,
  date,
  sizes: measured.join(', '),
  failed: failures.join('; ') || 'none',
}));
const slopeRows = dimensions.flatMap(({ name, slopes }) =>
  slopes
    .filter(({ measure }) =>
      /^(vm(Cpu|Resident|Bytes)|platform|holder|relay|heap|spread)/.test(measure),
    )
    .filter(({ measure, slope }) => !/Max$/.test(measure) && Math.abs(slope) > 0)
    .map(({ measure, base, slope }) => ({
      dimension: name,
      measure,
      base: base.toPrecision(PRECISION),
      slope: slope.toPrecision(PRECISION),
    })),
);
const figures = [
  BEGIN,
  '### Runs',
  formatRows(runRows),
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
const json = { ...(await resolveConfig(KEPT_SLOPES)), parser: 'json' };
writeFileSync(KEPT_SLOPES, await format(JSON.stringify(dimensions), json));
console.log(figures);

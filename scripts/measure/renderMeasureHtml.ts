import type DeploymentResult from './deploymentResult';
import resultRows from './resultRows';
import type ScenarioResult from './scenarioResult';

const WIDTH_PX = 640;
const HEIGHT_PX = 120;
const STYLE = [
  'body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}',
  'td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}svg{background:#fafafa}',
  'polyline{fill:none;stroke-width:1.5}.ran{stroke:#264}.not{stroke:#c33}',
].join('');

const row = (tag: 'td' | 'th', cells: unknown[]): string =>
  `<tr>${cells.map((cell) => `<${tag}>${String(cell)}</${tag}>`).join('')}</tr>`;

const plot = ({ scenario, timeline, codes, breaks }: ScenarioResult): string => {
  const highest = Math.max(1, ...timeline.flatMap(({ ran, notRan }) => [ran, notRan]));
  const line = (field: 'ran' | 'notRan'): string =>
    timeline
      .map((point, index) => {
        const x = (index / Math.max(1, timeline.length - 1)) * WIDTH_PX;
        return `${x.toFixed(1)},${(HEIGHT_PX - (point[field] / highest) * HEIGHT_PX).toFixed(1)}`;
      })
      .join(' ');
  return [
    `<h3>${scenario}</h3>`,
    `<svg viewBox="0 0 ${WIDTH_PX} ${HEIGHT_PX}" width="${WIDTH_PX}">`,
    `<polyline class="ran" points="${line('ran')}"/>`,
    `<polyline class="not" points="${line('notRan')}"/></svg>`,
    `<p>green: ran; red: not ran or not known; highest ${highest} in 250 ms</p>`,
    `<p>${JSON.stringify(codes)}; broken promises ${JSON.stringify(breaks)}</p>`,
  ].join('');
};

/** Renders the measures as one HTML page that loads nothing else. */
const renderMeasureHtml = (info: object, results: DeploymentResult[]): string => {
  const rows = resultRows(results);
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Measures</title>',
    `<style>${STYLE}</style></head><body><h1>Measures</h1><p>${JSON.stringify(info)}</p>`,
    `<table>${row('th', Object.keys(rows[0] ?? {}))}`,
    ...rows.map((cells) => row('td', Object.values(cells))),
    '</table>',
    ...results.flatMap(({ deployment, variant, results: scenarios }) => [
      `<h2>${deployment}, ${variant}</h2>`,
      ...scenarios.map(plot),
    ]),
    '</body></html>',
  ].join('\n');
};

export default renderMeasureHtml;

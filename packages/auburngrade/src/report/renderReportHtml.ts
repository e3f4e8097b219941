import escapeHtml from './escapeHtml';
import renderSeriesPlot from './renderSeriesPlot';
import createReportTables from './createReportTables';
import type ServiceLevelReport from './serviceLevelReport';

const STYLE = [
  'body{font:14px sans-serif;margin:2em}',
  'table{border-collapse:collapse}',
  'td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}',
  'svg{background:#fafafa}text{font-size:11px}',
  '.limit{stroke:#c33;stroke-dasharray:4}.rate{fill:none;stroke:#246;stroke-width:1.5}',
].join('');

const renderRow = (tag: 'td' | 'th', cells: string[]): string =>
  `<tr>${cells.map((cell) => `<${tag}>${escapeHtml(cell)}</${tag}>`).join('')}</tr>`;

/** Renders a report as one HTML page that loads nothing else. */
const renderReportHtml = (report: ServiceLevelReport): string => {
  const tables = createReportTables(report).map(({ title, columns, rows }) => {
    const body = rows.map((cells) => renderRow('td', cells)).join('');
    const table =
      rows.length === 0 ? '<p>none</p>' : `<table>${renderRow('th', columns)}${body}</table>`;
    return `<h2>${escapeHtml(title)}</h2>${table}`;
  });
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    `<title>Service-level burn</title><style>${STYLE}</style></head><body>`,
    `<h1>Service-level burn at ${new Date(report.atMs).toISOString()}</h1>`,
    ...tables,
    '<h2>Burn over time</h2>',
    ...report.series.map(renderSeriesPlot),
    '</body></html>',
  ].join('\n');
};

export default renderReportHtml;

const DECIMALS = 2;
const MAX_PLAIN = 1_000;

const format = (value: unknown): string => {
  if (typeof value !== 'number') return String(value ?? '');
  if (Number.isInteger(value) || Math.abs(value) >= MAX_PLAIN) return String(Math.round(value));
  return value.toFixed(DECIMALS);
};

/** Formats records with the same fields as a Markdown table. */
const formatRows = (rows: object[]): string => {
  const titles = Object.keys(rows[0] ?? {});
  const line = (cells: string[]): string => `| ${cells.join(' | ')} |`;
  const body = rows.map((row) => line(Object.values(row).map(format)));
  return [line(titles), line(titles.map(() => '---')), ...body].join('\n');
};

export default formatRows;

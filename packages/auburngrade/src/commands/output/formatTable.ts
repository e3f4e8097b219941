const COLUMN_GAP = '  ';

/** Formats rows as left-aligned columns below their titles. */
const formatTable = (titles: string[], rows: string[][]): string => {
  const widths = titles.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const format = (row: string[]): string =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd();
  return [titles, ...rows].map(format).join('\n');
};

export default formatTable;

/** Writes a text as an SQL literal. */
const quoteLiteral = (text: string): string => `'${text.replaceAll("'", "''")}'`;

export default quoteLiteral;

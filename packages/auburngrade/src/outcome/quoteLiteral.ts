/** Quotes a text as an SQL string literal. */
const quoteLiteral = (text: string): string => `'${text.replaceAll("'", "''")}'`;

export default quoteLiteral;

/** Joins statements into one script in which each carries the term. */
const joinStatementsWithTerm = (term: number, statements: string[]): string =>
  statements.map((statement) => `/*term=${term}*/${statement}`).join(';');

export default joinStatementsWithTerm;

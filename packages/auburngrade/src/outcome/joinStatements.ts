/** Joins statements to one script, each prefixed by the term comment that members check. */
const joinStatements = (term: number, statements: string[]): string =>
  statements.map((statement) => `/*term=${term}*/${statement}`).join(';');

export default joinStatements;

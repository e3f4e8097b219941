const NESTED_COMMENT = /\/\*|\*\//g;

const afterBlockComment = (sql: string): string => {
  let depth = 0;
  for (const match of sql.matchAll(NESTED_COMMENT)) {
    depth += match[0] === '/*' ? 1 : -1;
    if (depth === 0) return sql.slice(match.index + match[0].length);
  }
  return '';
};

/** The text from its first word on, without the blanks, comments and semicolons before it. */
const skipComments = (sql: string): string => {
  const text = sql.replace(/^[\s;]+/, '');
  if (text.startsWith('/*')) return skipComments(afterBlockComment(text));
  if (text.startsWith('--')) return skipComments(text.replace(/^[^\n]*\n?/, ''));
  return text;
};

export default skipComments;

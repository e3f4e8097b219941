const BLOCK_COMMENT_DELIMITER = /\/\*|\*\//g;

const skipBlockComment = (sql: string): string => {
  let depth = 0;
  for (const match of sql.matchAll(BLOCK_COMMENT_DELIMITER)) {
    depth += match[0] === '/*' ? 1 : -1;
    if (depth === 0) return sql.slice(match.index + match[0].length);
  }
  return '';
};

/** Strips leading white space, semicolons and SQL comments; block comments may be nested. */
const skipComments = (sql: string): string => {
  const text = sql.replace(/^[\s;]+/, '');
  if (text.startsWith('/*')) return skipComments(skipBlockComment(text));
  if (text.startsWith('--')) return skipComments(text.replace(/^[^\n]*\n?/, ''));
  return text;
};

export default skipComments;

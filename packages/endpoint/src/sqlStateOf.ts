/** PostgreSQL's five-character code of an error, when it has one. */
const sqlStateOf = (error: unknown): string | undefined => {
  const { code } = error as { code?: unknown };
  return typeof code === 'string' && /^[0-9A-Z]{5}$/.test(code) ? code : undefined;
};

export default sqlStateOf;

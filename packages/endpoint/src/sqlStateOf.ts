/** Returns the five-character SQLSTATE code of an error, undefined when it has none. */
const sqlStateOf = (error: unknown): string | undefined => {
  const { code } = error as { code?: unknown };
  return typeof code === 'string' && /^[0-9A-Z]{5}$/.test(code) ? code : undefined;
};

export default sqlStateOf;

/** Returns the message of any thrown value. */
const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

export default messageOf;

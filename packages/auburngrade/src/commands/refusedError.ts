/** The command was refused before it had any effect. */
class RefusedError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'RefusedError';
  }
}

export default RefusedError;

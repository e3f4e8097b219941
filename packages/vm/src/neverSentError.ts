/** A call that certainly never left this VM. */
class NeverSentError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'NeverSentError';
  }
}

export default NeverSentError;

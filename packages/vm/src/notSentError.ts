/** Failure of a call that was never sent, so that a retry cannot repeat an effect. */
class NotSentError extends Error {
  constructor(message: string) {
    super(message);
    this.name = 'NeverSentError';
  }
}

export default NotSentError;

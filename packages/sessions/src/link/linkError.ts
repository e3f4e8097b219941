/** A call to another VM without an answer; `isSent` says whether it may have arrived. */
class LinkError extends Error {
  constructor(
    readonly isSent: boolean,
    message: string,
  ) {
    super(message);
    this.name = 'LinkError';
  }
}

export default LinkError;

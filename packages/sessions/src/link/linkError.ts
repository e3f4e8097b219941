/** Thrown when a call to another VM gets no answer; `isSent` tells whether the call may have arrived. */
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

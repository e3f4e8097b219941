/** A store call without a usable reply; `verdict` says whether the call may have taken effect. */
class StoreError extends Error {
  constructor(
    readonly verdict: 'notRun' | 'mayHaveRun',
    message: string,
  ) {
    super(message);
    this.name = 'StoreError';
  }
}

export default StoreError;

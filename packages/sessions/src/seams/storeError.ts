/** A call to the platform's store without a usable answer; `verdict` says whether it may have run. */
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

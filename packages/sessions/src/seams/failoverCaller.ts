/** Makes a named endpoint the primary of its group. */
abstract class FailoverCaller {
  /** Resolves with the outcome: `mayHaveRun` when no usable answer came. */
  abstract promote(
    group: string,
    endpointId: string,
    holder: string,
    fence: number,
  ): Promise<'accepted' | 'rejected' | 'notRun' | 'mayHaveRun'>;
}

export default FailoverCaller;

/** Client of the platform's failover service. */
abstract class FailoverClient {
  /**
   * Promotes an endpoint to primary; resolves with `mayHaveRun` when there is no usable reply.
   * @param mayStillSend asked once, right before the call is sent; if false it is not, and has `notRun`.
   */
  abstract promote(
    group: string,
    endpointId: string,
    holder: string,
    fence: number,
    mayStillSend: () => boolean,
  ): Promise<'accepted' | 'rejected' | 'notRun' | 'mayHaveRun'>;
}

export default FailoverClient;

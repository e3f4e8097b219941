/** Client of the platform's failover service. */
abstract class FailoverClient {
  /** Promotes an endpoint to primary; resolves with `mayHaveRun` when there is no usable reply. */
  abstract promote(
    group: string,
    endpointId: string,
    holder: string,
    fence: number,
  ): Promise<'accepted' | 'rejected' | 'notRun' | 'mayHaveRun'>;
}

export default FailoverClient;

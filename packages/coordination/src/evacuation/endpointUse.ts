/** What an endpoint is used for. */
interface EndpointUse {
  /** Whether statements and transactions may be started there. */
  acceptsNewWork: boolean;
  /** Whether open transactions may continue there. */
  mayContinueWork: boolean;
  /** Whether it may be chosen as the next primary. */
  isCandidate: boolean;
  /** Whether anything at all may be sent to it, probes included. */
  isContacted: boolean;
}

export default EndpointUse;

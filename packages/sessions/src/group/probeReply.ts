import type EndpointStatus from '../seams/memberStatus';

/** What an endpoint answered to a probe. */
interface ProbeReply {
  id: string;
  askedAtMs: number;
  /** In which tenure it was asked. */
  tenure: string | undefined;
  status: EndpointStatus;
}

export default ProbeReply;

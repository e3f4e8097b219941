/** An endpoint of a group, as registered in the platform's store. */
interface GroupEndpoint {
  id: string;
  group: string;
  /** `host:port`. */
  address: string;
  dataCentre: string;
  /** Number of statements that it runs concurrently. */
  slots: number;
  isLeaving: boolean;
  /** Whether it registered itself as primary; its status decides. */
  isRegisteredAsPrimary: boolean;
  /** How much longer it is cold after its start, when it wrote its entry. */
  warmupLeftMs: number;
  /** Unix time of its start; a new value means a new process under the same id. */
  startedAtUnixMs: number;
  /** Number of its entry since its start; rises with each one that it writes. */
  sequence: number;
}

export default GroupEndpoint;

/** An endpoint of a group, as it registers itself. */
interface GroupEndpoint {
  id: string;
  group: string;
  /** `host:port`. */
  address: string;
  dataCentre: string;
  /** Statements that it runs at the same time. */
  slots: number;
  isLeaving: boolean;
  claimsPrimary: boolean;
  /** Unix time in ms of its start: a new value is a new process under the same id. */
  bornAtMs: number;
}

export default GroupEndpoint;

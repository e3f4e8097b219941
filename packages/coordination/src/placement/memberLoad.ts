import type LogPosition from '../position/logPosition';

/** Load and availability of an endpoint, as input of `chooseStatementEndpoint`; times are in ms. */
interface MemberLoad {
  id: string;
  isPrimary: boolean;
  /** Gets no new work unless it is the primary: it leaves, or its data centre is evacuated. */
  isLeaving: boolean;
  isDown: boolean;
  /** Statements sent and not yet answered, and how many the endpoint executes concurrently. */
  activeStatements: number;
  slots: number;
  canConnect: boolean;
  hasIdleConnection: boolean;
  /** Log position last reported by the endpoint. */
  position: LogPosition | undefined;
  latencyMs: number;
  pausedUntilMs: number;
}

export default MemberLoad;

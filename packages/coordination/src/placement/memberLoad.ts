import type LogPosition from '../position/logPosition';

/** An endpoint as the placement of a statement sees it. */
interface MemberLoad {
  id: string;
  isPrimary: boolean;
  isLeaving: boolean;
  isDown: boolean;
  /** Statements under way, and how many the endpoint runs at a time. */
  underWay: number;
  slots: number;
  canConnect: boolean;
  hasIdleConnection: boolean;
  /** The last position that it reported. */
  position: LogPosition | undefined;
  latencyMs: number;
  isPausedUntilMs: number;
}

export default MemberLoad;

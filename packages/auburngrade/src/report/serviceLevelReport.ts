import type RouteBurn from './routeBurn';

/** Burn of one window of time. */
interface WindowBurn {
  lengthMs: number;
  /** False when the samples do not reach back so far; the burn is then of the time they cover. */
  isCovered: boolean;
  routes: RouteBurn[];
}

/** A pair of windows and the routes that burn over both of them. */
interface BurningPair {
  name: string;
  threshold: number;
  routes: string[];
}

/** Service-level burn of the fleet at the time of the newest sample. */
interface ServiceLevelReport {
  atMs: number;
  coveredMs: number;
  /** VMs whose latest counts are missing, with the reason. */
  unreachable: { vm: string; message: string }[];
  /** Over all the samples: what budgets are left. */
  whole: RouteBurn[];
  windows: WindowBurn[];
  burning: BurningPair[];
  /** Availability burn of each profile and client account between samples, for plots. */
  series: { route: string; points: { atMs: number; rate: number }[] }[];
}

export default ServiceLevelReport;

import type Burn from './burn';

/** The burn of each objective of one profile and client account over one window. */
interface RouteBurn {
  profile: string;
  account: string;
  availability: Burn;
  latency: Burn;
  freshness: Burn;
  overRate: number;
  callerErrors: number;
  /** Refusals that count against the objective, by code. */
  ownFaults: Record<string, number>;
}

export default RouteBurn;

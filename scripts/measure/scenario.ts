import type ScenarioContext from './scenarioContext';

/** A fault, or none, that is caused while the load runs. */
interface Scenario {
  name: string;
  /** The first account sends this many times its rate. */
  firstAccountFactor: number;
  /** Nothing fails: only planned stops, which may cut no request. */
  isPlanned: boolean;
  /** The group that loses its primary, for the failover gap. */
  gapGroup?: string;
  run(context: ScenarioContext): Promise<void>;
}

export default Scenario;

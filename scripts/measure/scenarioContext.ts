import type { Fleet, Load } from '@auburngrade/testkit';

/** What a scenario acts on while the load runs. */
interface ScenarioContext {
  fleet: Fleet;
  load: Load;
  /** How long the fault lasts. */
  faultMs: number;
  /** Notes when the fault began, for the failover gap. */
  noteFault(): void;
}

export default ScenarioContext;

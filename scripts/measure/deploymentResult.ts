import type ScenarioResult from './scenarioResult';

/** The scenarios of one deployment and variant. */
interface DeploymentResult {
  deployment: string;
  variant: string;
  results: ScenarioResult[];
  failures: string[];
}

export default DeploymentResult;

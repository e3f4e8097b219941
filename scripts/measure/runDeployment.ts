import type Deployment from './deployment';
import type DeploymentResult from './deploymentResult';
import runScenario from './runScenario';
import type Scenario from './scenario';
import type ScenarioResult from './scenarioResult';
import startDeployment from './startDeployment';
import type Variant from './variant';

interface DeploymentOptions {
  deployment: Deployment;
  variant: Variant;
  scenarios: Scenario[];
  faultMs: number;
  tailMs: number;
}

/** Runs scenarios one after another on one fleet; a scenario that fails does not stop the rest. */
const runDeployment = async (options: DeploymentOptions): Promise<DeploymentResult> => {
  const { deployment, variant, scenarios, faultMs, tailMs } = options;
  const running = await startDeployment(deployment, variant);
  const results: ScenarioResult[] = [];
  const failures: string[] = [];
  for (const scenario of scenarios) {
    try {
      results.push(await runScenario(scenario, { ...running, faultMs, tailMs }));
      console.log(`${deployment.name}, ${variant.name}: ${scenario.name} done`);
    } catch (error) {
      failures.push(`${scenario.name}: ${error instanceof Error ? error.message : String(error)}`);
      console.log(`${deployment.name}, ${variant.name}: FAILED ${failures.at(-1)}`);
    }
  }
  await running.fleet.stop();
  return { deployment: deployment.name, variant: variant.name, results, failures };
};

export default runDeployment;

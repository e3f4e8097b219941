import type runScenario from './runScenario';

/** The measures of one scenario. */
type ScenarioResult = Awaited<ReturnType<typeof runScenario>>;

export default ScenarioResult;

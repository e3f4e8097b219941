import type DeploymentResult from './deploymentResult';

const PERCENT = 100;
const DECIMALS = 2;

const percent = (value: number): string => `${(value * PERCENT).toFixed(DECIMALS)}%`;
const round = (value: number): number => Math.round(value);

/** Arranges the measures as one row a scenario. */
const resultRows = (results: DeploymentResult[]) =>
  results.flatMap(({ deployment, variant, results: scenarios }) =>
    scenarios.map((result) => ({
      deployment,
      variant,
      scenario: result.scenario,
      sent: result.sent,
      'replica reads': percent(result.replicaShare),
      'gap median ms': result.vmsRecovered === 0 ? '' : round(result.gapMedianMs),
      'gap worst ms': result.vmsRecovered === 0 ? '' : round(result.gapWorstMs),
      'worst account': percent(result.worstAccountShare),
      'p99 ms': round(result.worstAccountP99Ms),
      'wrongful refusals': percent(result.wrongfulRefusalRatio),
      'may have run': result.mayHaveRun,
      'no answer': result.noAnswer,
      'broken promises': Object.values(result.breaks).reduce((sum, count) => sum + count, 0),
    })),
  );

export default resultRows;

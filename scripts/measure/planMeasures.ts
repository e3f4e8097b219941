import type MeasurePlan from './measurePlan';
import type parseMeasureArguments from './parseMeasureArguments';
import scenarios from './scenarios/scenarios';
import variants from './variants';

/** The quick run of the second deployment and the baseline take only these. */
const FEW = ['quiet', 'one account at 10 times its rate', 'primary killed'];

/** Plans which fleets run which scenarios: those named on the command line, else the usual ones. */
const planMeasures = (chosen: ReturnType<typeof parseMeasureArguments>): MeasurePlan[] => {
  const { deployments, isQuick } = chosen;
  if (chosen.scenarios) {
    const named = chosen.scenarios;
    return deployments.flatMap((deployment) =>
      chosen.variants.map((variant) => ({ deployment, variant, scenarios: named })),
    );
  }
  const few = scenarios.filter(({ name }) => FEW.includes(name));
  return deployments.flatMap((deployment, index) => {
    const isFirst = index === 0;
    const product = {
      deployment,
      variant: variants.product,
      scenarios: isQuick && !isFirst ? few : scenarios,
    };
    const baseline = { deployment, variant: variants.baseline, scenarios: few };
    return isQuick && !isFirst ? [product] : [product, baseline];
  });
};

export default planMeasures;

import type Deployment from './deployment';
import type Scenario from './scenario';
import type Variant from './variant';

/** One fleet of the measures and the scenarios that it runs. */
interface MeasurePlan {
  deployment: Deployment;
  variant: Variant;
  scenarios: Scenario[];
}

export default MeasurePlan;

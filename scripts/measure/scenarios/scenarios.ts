import type Scenario from '../scenario';
import accountOverRate from './accountOverRate';
import dataCentreCut from './dataCentreCut';
import platformDown from './platformDown';
import primaryCut from './primaryCut';
import primaryKilled from './primaryKilled';
import quiet from './quiet';
import vmKilled from './vmKilled';
import vmPaused from './vmPaused';
import vmsReplaced from './vmsReplaced';

/** The scenarios in the order in which one fleet runs them; a killed endpoint stays dead. */
const scenarios: Scenario[] = [
  quiet,
  accountOverRate,
  platformDown,
  dataCentreCut,
  vmPaused,
  vmKilled,
  vmsReplaced,
  primaryCut,
  primaryKilled,
];

export default scenarios;

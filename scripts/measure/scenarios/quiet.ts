import sleep from '../../measurement/sleep';
import type Scenario from '../scenario';

/** Nothing fails. */
const quiet: Scenario = {
  name: 'quiet',
  firstAccountFactor: 1,
  isPlanned: true,
  run: ({ faultMs }) => sleep(faultMs),
};

export default quiet;

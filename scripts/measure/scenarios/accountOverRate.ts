import sleep from '../../measurement/sleep';
import type Scenario from '../scenario';

/** A large account sends 10 times its rate. */
const accountOverRate: Scenario = {
  name: 'one account at 10 times its rate',
  firstAccountFactor: 10,
  isPlanned: true,
  run: ({ faultMs }) => sleep(faultMs),
};

export default accountOverRate;

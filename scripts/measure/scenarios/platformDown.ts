import sleep from '../../measurement/sleep';
import type Scenario from '../scenario';

/** The platform answers nothing. */
const platformDown: Scenario = {
  name: 'platform down',
  firstAccountFactor: 1,
  isPlanned: false,
  run: async ({ fleet, faultMs, noteFault }) => {
    noteFault();
    await fleet.platform.setFault('isDown', 1);
    await sleep(faultMs);
    await fleet.platform.setFault('isDown', 0);
  },
};

export default platformDown;

import sleep from '../../measurement/sleep';
import primaryOf from '../primaryOf';
import type Scenario from '../scenario';

const GROUP = 'group-0';

/** The primary of one group dies for good. */
const primaryKilled: Scenario = {
  name: 'primary killed',
  firstAccountFactor: 1,
  isPlanned: false,
  gapGroup: GROUP,
  run: async ({ fleet, faultMs, noteFault }) => {
    const primary = await primaryOf(fleet, GROUP);
    noteFault();
    await primary?.member.kill();
    await sleep(faultMs);
  },
};

export default primaryKilled;

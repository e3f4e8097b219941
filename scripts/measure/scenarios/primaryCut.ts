import sleep from '../../measurement/sleep';
import primaryOf from '../primaryOf';
import type Scenario from '../scenario';
import setLinks from '../setLinks';

const GROUP = 'group-1';

/** No VM reaches the primary of one group any more; the primary itself runs on. */
const primaryCut: Scenario = {
  name: 'primary cut',
  firstAccountFactor: 1,
  isPlanned: false,
  gapGroup: GROUP,
  run: async ({ fleet, faultMs, noteFault }) => {
    const primary = await primaryOf(fleet, GROUP);
    const isToPrimary = (_from: string, _to: string, target: string): boolean =>
      target === primary?.member.name;
    noteFault();
    setLinks(fleet, 'silent', isToPrimary);
    await sleep(faultMs);
    setLinks(fleet, 'pass', isToPrimary);
  },
};

export default primaryCut;

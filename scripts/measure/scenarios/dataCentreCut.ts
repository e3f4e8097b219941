import sleep from '../../measurement/sleep';
import type Scenario from '../scenario';
import setLinks from '../setLinks';

/** The last data centre is cut off from all others and from the platform. */
const dataCentreCut: Scenario = {
  name: 'data centre cut',
  firstAccountFactor: 1,
  isPlanned: false,
  run: async ({ fleet, faultMs, noteFault }) => {
    const cut = fleet.names.at(-1)?.dataCentre ?? '';
    const isAcross = (from: string, to: string): boolean => (from === cut) !== (to === cut);
    noteFault();
    setLinks(fleet, 'silent', isAcross);
    await sleep(faultMs);
    setLinks(fleet, 'pass', isAcross);
  },
};

export default dataCentreCut;

import sleep from '../../measurement/sleep';
import type Scenario from '../scenario';

/** How long the balancer goes on sending to a VM that does not answer. */
const HEALTH_CHECK_MS = 1_000;

/** A VM is paused and wakes up unaware. */
const vmPaused: Scenario = {
  name: 'VM paused',
  firstAccountFactor: 1,
  isPlanned: false,
  run: async ({ fleet, load, faultMs, noteFault }) => {
    const vms = [...fleet.vms.keys()];
    const paused = vms[1] ?? '';
    noteFault();
    fleet.vms.get(paused)?.signal('SIGSTOP');
    await sleep(HEALTH_CHECK_MS);
    load.balanceOver(vms.filter((vm) => vm !== paused));
    await sleep(Math.max(0, faultMs - HEALTH_CHECK_MS));
    fleet.vms.get(paused)?.signal('SIGCONT');
    load.balanceOver(vms);
  },
};

export default vmPaused;

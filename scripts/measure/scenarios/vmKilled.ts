import sleep from '../../measurement/sleep';
import type Scenario from '../scenario';

/** How long the balancer goes on sending to a VM that does not answer. */
const HEALTH_CHECK_MS = 1_000;

/** A VM dies; the platform's list says so after a while; then it is started again. */
const vmKilled: Scenario = {
  name: 'VM killed',
  firstAccountFactor: 1,
  isPlanned: false,
  run: async ({ fleet, load, faultMs, noteFault }) => {
    const vms = [...fleet.vms.keys()];
    const killed = fleet.names[0];
    if (!killed) return;
    noteFault();
    await fleet.vms.get(killed.vm)?.kill();
    await sleep(HEALTH_CHECK_MS);
    load.balanceOver(vms.filter((vm) => vm !== killed.vm));
    await fleet.platform.setVm(killed.vm, undefined);
    await sleep(Math.max(0, faultMs - HEALTH_CHECK_MS));
    await fleet.start(killed.vm, killed.dataCentre);
    load.reconnect(killed.vm);
    load.balanceOver(vms);
  },
};

export default vmKilled;

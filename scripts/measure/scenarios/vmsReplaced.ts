import sleep from '../../measurement/sleep';
import type Scenario from '../scenario';

/** How long the balancer needs to stop sending to a VM that leaves. */
const LEAVE_MS = 500;

/** Each VM in turn leaves the balancer, is stopped and is started again. */
const vmsReplaced: Scenario = {
  name: 'planned replacement of each VM',
  firstAccountFactor: 1,
  run: async ({ fleet, load, noteFault }) => {
    noteFault();
    const vms = [...fleet.vms.keys()];
    for (const { vm, dataCentre } of fleet.names) {
      load.balanceOver(vms.filter((other) => other !== vm));
      await fleet.platform.setVm(vm, undefined);
      await sleep(LEAVE_MS);
      await fleet.vms.get(vm)?.stop();
      await fleet.start(vm, dataCentre);
      load.reconnect(vm);
      load.balanceOver(vms);
    }
  },
};

export default vmsReplaced;

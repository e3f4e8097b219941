import sleep from '../../measurement/sleep';
import type Scenario from '../scenario';

/** How long the balancer needs to stop sending to a VM that leaves. */
const LEAVE_MS = 500;
const HOST = '127.0.0.1';

/** Each VM in turn leaves the balancer, is stopped and is started again. */
const vmsReplaced: Scenario = {
  name: 'planned replacement of each VM',
  firstAccountFactor: 1,
  isPlanned: true,
  run: async ({ fleet, load, noteFault }) => {
    noteFault();
    const vms = [...fleet.vms.keys()];
    for (const { vm, dataCentre } of fleet.names) {
      load.balanceOver(vms.filter((other) => other !== vm));
      const { callerPort, vmPort } = fleet.vms.get(vm)?.ports ?? { callerPort: 0, vmPort: 0 };
      const listed = { dataCentre, host: HOST, callerPort, vmPort };
      await fleet.platform.setVm(vm, { ...listed, state: 'leaving' });
      await sleep(LEAVE_MS);
      await fleet.vms.get(vm)?.stop();
      await fleet.platform.setVm(vm, undefined);
      await fleet.start(vm, dataCentre);
      load.reconnect(vm);
      load.balanceOver(vms);
    }
  },
};

export default vmsReplaced;

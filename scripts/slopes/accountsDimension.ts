import { AccessMode, createCallerClient } from '@auburngrade/caller';
import type { Fleet } from '@auburngrade/testkit';
import measureWindow from '../measurement/measureWindow';
import sleep from '../measurement/sleep';
import type Dimension from './dimension';
import startMeasuredFleet from './startMeasuredFleet';
import touchGroups from './touchGroups';

const VMS = 4;
const PERIOD_MS = 2_000;
const SETTLE_MS = 6_000;
const WINDOW_MS = 8_000;
const TIMEOUT_MS = 2_000;

/** Sends one read an account every two seconds, through the VMs in turn, until stopped. */
const startAccounts = async (fleet: Fleet, accounts: number): Promise<() => void> => {
  const names = Array.from({ length: accounts }, (_, index) => `account-${index}`);
  const groups = ['group-0'];
  await fleet.put('profile', 'measured', { accounts: names, groups });
  const vms = [...fleet.vms.keys()];
  const timers: NodeJS.Timeout[] = [];
  const clients: { close(): void }[] = [];
  for (const [index, name] of names.entries()) {
    const { key } = await fleet.issueKey(name);
    let turn = index;
    const callers = vms.map((vm) =>
      createCallerClient(`127.0.0.1:${fleet.vms.get(vm)?.ports.callerPort}`, key),
    );
    clients.push(...callers);
    timers.push(
      setInterval(() => {
        turn += 1;
        const request = {
          profile: 'measured',
          group: 'group-0',
          accessMode: AccessMode.READ,
          sql: 'SELECT value FROM items WHERE key = $1',
          parameters: [{ text: 'none' }],
          timeoutMs: TIMEOUT_MS,
        };
        callers[turn % callers.length]?.execute(request).catch(() => {});
      }, PERIOD_MS),
    );
  }
  return () => {
    timers.forEach(clearInterval);
    clients.forEach((client) => client.close());
  };
};

/** Client accounts that each send a read every two seconds, spread over 4 VMs. */
const accountsDimension: Dimension = {
  name: 'accounts',
  unit: 'active client account',
  sizes: [4, 32, 128, 256],
  measure: async (accounts) => {
    const { fleet, key } = await startMeasuredFleet({ vms: VMS, groups: 1, accounts });
    let stop = (): void => {};
    try {
      await touchGroups(fleet, key, 1);
      stop = await startAccounts(fleet, accounts);
      await sleep(SETTLE_MS);
      return await measureWindow(fleet, WINDOW_MS);
    } finally {
      stop();
      await fleet.stop();
    }
  },
};

export default accountsDimension;

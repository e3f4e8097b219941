import { AccessMode } from '@auburngrade/caller';
import type { Fleet } from '@auburngrade/testkit';

const TIMEOUT_MS = 5_000;

/** Finds a VM that sends statements of the group on to another VM. @throws Error if none does. */
const findForwarder = async (
  fleet: Fleet,
  key: string,
  group: string,
): Promise<{ forwarder: string; holder: string }> => {
  for (const vm of fleet.vms.keys()) {
    const caller = fleet.caller(vm, key);
    const outcome = await caller.execute({
      profile: 'measured',
      group,
      accessMode: AccessMode.READ,
      sql: 'SELECT value FROM items WHERE key = $1',
      parameters: [{ text: 'none' }],
      timeoutMs: TIMEOUT_MS,
    });
    caller.close();
    const holder = outcome.servedBy?.vm ?? vm;
    if (holder !== vm) return { forwarder: vm, holder };
  }
  throw new Error(`every VM holds ${group}`);
};

export default findForwarder;

import { AccessMode, Verdict } from '@auburngrade/caller';
import { waitFor, type Fleet } from '@auburngrade/testkit';

const TIMEOUT_MS = 5_000;
const WAIT_MS = 30_000;
const SELECT = 'SELECT value FROM items WHERE key = $1';

/** Reads once from each group through each VM, so that every pool and peer connection in use is open. */
const touchGroups = async (fleet: Fleet, key: string, groups: number): Promise<void> => {
  const vms = [...fleet.vms.keys()];
  for (const vm of vms) {
    const caller = fleet.caller(vm, key);
    for (let index = 0; index < groups; index += 1) {
      await waitFor(
        `${vm} serves group-${index}`,
        async () => {
          const outcome = await caller.execute({
            profile: 'measured',
            group: `group-${index}`,
            accessMode: AccessMode.READ,
            sql: SELECT,
            parameters: [{ text: 'none' }],
            timeoutMs: TIMEOUT_MS,
          });
          return outcome.verdict === Verdict.RAN;
        },
        WAIT_MS,
      );
    }
    caller.close();
  }
};

export default touchGroups;

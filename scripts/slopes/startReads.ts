import { AccessMode, Verdict, createCallerClient } from '@auburngrade/caller';
import type { Fleet } from '@auburngrade/testkit';

const TICK_MS = 5;
const MS_PER_S = 1_000;
const TIMEOUT_MS = 2_000;
const SELECT = 'SELECT value FROM items WHERE key = $1';

interface Reads {
  stop(): void;
  completed(): number;
  refused(): number;
}

/** Sends point reads to one VM at a steady rate until stopped. */
const startReads = (fleet: Fleet, vm: string, key: string, ratePerS: number): Reads => {
  const address = `127.0.0.1:${fleet.vms.get(vm)?.ports.callerPort}`;
  const caller = createCallerClient(address, key);
  const startedAtMs = performance.now();
  let sent = 0;
  let completed = 0;
  let refused = 0;

  const send = async (): Promise<void> => {
    const outcome = await caller
      .execute({
        profile: 'measured',
        group: 'group-0',
        accessMode: AccessMode.READ,
        sql: SELECT,
        parameters: [{ text: 'none' }],
        timeoutMs: TIMEOUT_MS,
      })
      .catch(() => undefined);
    if (outcome?.verdict === Verdict.RAN) completed += 1;
    else refused += 1;
  };

  const timer = setInterval(() => {
    const due = ((performance.now() - startedAtMs) / MS_PER_S) * ratePerS;
    while (sent < due) {
      sent += 1;
      send();
    }
  }, TICK_MS);

  return {
    stop: () => {
      clearInterval(timer);
      caller.close();
    },
    completed: () => completed,
    refused: () => refused,
  };
};

export default startReads;

import type { Fleet } from '@auburngrade/testkit';
import { waitFor } from '@auburngrade/testkit';
import measureWindow from '../measurement/measureWindow';
import median from '../measurement/median';
import type Dimension from './dimension';
import startMeasuredFleet from './startMeasuredFleet';

const VMS = 8;
const ACCOUNTS = 8;
const WINDOW_MS = 8_000;
const MS_PER_S = 1_000;
const SPREAD_SAMPLES = 5;
const LIMIT = { ratePerS: 1_000_000, burst: 1_000_000 };

/** Writes documents at a steady rate until stopped. */
const startChanges = (fleet: Fleet, ratePerS: number): (() => void) => {
  let number = 0;
  const timer = setInterval(
    () => {
      number += 1;
      fleet.put('account', `account-${number % ACCOUNTS}`, { limit: LIMIT }).catch(() => {});
    },
    ratePerS === 0 ? WINDOW_MS * 2 : MS_PER_S / ratePerS,
  );
  return () => clearInterval(timer);
};

/** Time from the accepted change until every VM states its revision. */
const measureSpreadMs = async (fleet: Fleet): Promise<number> => {
  const startedAtMs = performance.now();
  await fleet.put('account', 'account-spread', { limit: LIMIT });
  const { revision } = await fleet.platform.counts();
  await Promise.all(
    [...fleet.vms.keys()].map((vm) =>
      waitFor(`${vm} at ${revision}`, async () => {
        const status = await fleet.statusOf(vm);
        return Number(status.revision) >= (revision ?? 0);
      }),
    ),
  );
  return performance.now() - startedAtMs;
};

/** Configuration changes a second, by 8 VMs. */
const changesDimension: Dimension = {
  name: 'changes',
  unit: 'change a second',
  sizes: [0, 2, 10, 40],
  measure: async (ratePerS) => {
    const { fleet } = await startMeasuredFleet({ vms: VMS, groups: 1, accounts: ACCOUNTS });
    const stop = startChanges(fleet, ratePerS);
    try {
      const usage = await measureWindow(fleet, WINDOW_MS);
      const spreadMs: number[] = [];
      for (let index = 0; index < SPREAD_SAMPLES; index += 1) {
        spreadMs.push(await measureSpreadMs(fleet));
      }
      return { ...usage, spreadMs: median(spreadMs), spreadMsMax: Math.max(...spreadMs) };
    } finally {
      stop();
      await fleet.stop();
    }
  },
};

export default changesDimension;

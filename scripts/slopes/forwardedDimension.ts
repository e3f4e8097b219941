import measureWindow from '../measurement/measureWindow';
import sleep from '../measurement/sleep';
import type Dimension from './dimension';
import findForwarder from './findForwarder';
import startMeasuredFleet from './startMeasuredFleet';
import startReads from './startReads';
import touchGroups from './touchGroups';

const VMS = 4;
const SETTLE_MS = 2_000;
const WINDOW_MS = 6_000;
const MS_PER_S = 1_000;

/** Point reads a second sent to a VM that forwards them. */
const forwardedDimension: Dimension = {
  name: 'forwarded',
  unit: 'statement a second on the forwarder',
  sizes: [0, 250, 500, 1_000],
  measure: async (ratePerS) => {
    const { fleet, key } = await startMeasuredFleet({ vms: VMS, groups: 1, accounts: 8 });
    try {
      await touchGroups(fleet, key, 1);
      const { forwarder, holder } = await findForwarder(fleet, key, 'group-0');
      const reads = startReads(fleet, forwarder, key, ratePerS);
      await sleep(SETTLE_MS);
      const completed = reads.completed();
      const [usage, held] = await Promise.all([
        measureWindow(fleet, WINDOW_MS, [forwarder]),
        measureWindow(fleet, WINDOW_MS, [holder]),
      ]);
      const ranPerS = ((reads.completed() - completed) / WINDOW_MS) * MS_PER_S;
      reads.stop();
      return { ...usage, holderCpuPercent: held.vmCpuPercent, ranPerS, refused: reads.refused() };
    } finally {
      await fleet.stop();
    }
  },
};

export default forwardedDimension;

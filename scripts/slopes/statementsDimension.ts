import measureWindow from '../measurement/measureWindow';
import sleep from '../measurement/sleep';
import type Dimension from './dimension';
import startMeasuredFleet from './startMeasuredFleet';
import startReads from './startReads';
import touchGroups from './touchGroups';

const SETTLE_MS = 2_000;
const WINDOW_MS = 6_000;
const MS_PER_S = 1_000;

/** Point reads a second on one VM that holds the pool. */
const statementsDimension: Dimension = {
  name: 'statements',
  unit: 'statement a second on the holder',
  sizes: [0, 250, 500, 1_000, 2_000],
  measure: async (ratePerS) => {
    const { fleet, key } = await startMeasuredFleet({ vms: 1, groups: 1, accounts: 8 });
    try {
      await touchGroups(fleet, key, 1);
      const [vm = ''] = fleet.vms.keys();
      const reads = startReads(fleet, vm, key, ratePerS);
      await sleep(SETTLE_MS);
      const completed = reads.completed();
      const usage = await measureWindow(fleet, WINDOW_MS);
      const ranPerS = ((reads.completed() - completed) / WINDOW_MS) * MS_PER_S;
      reads.stop();
      return { ...usage, ranPerS, refused: reads.refused() };
    } finally {
      await fleet.stop();
    }
  },
};

export default statementsDimension;

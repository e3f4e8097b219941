import measureWindow from '../measurement/measureWindow';
import sleep from '../measurement/sleep';
import type Dimension from './dimension';
import startMeasuredFleet from './startMeasuredFleet';

const VMS = 3;
const SETTLE_MS = 3_000;
const WINDOW_MS = 6_000;

/** Documents of the configuration (client accounts) that no request uses. */
const documentsDimension: Dimension = {
  name: 'documents',
  unit: 'document',
  sizes: [10, 1_000, 4_000],
  measure: async (accounts) => {
    const { fleet } = await startMeasuredFleet({ vms: VMS, groups: 1, accounts });
    try {
      await sleep(SETTLE_MS);
      return await measureWindow(fleet, WINDOW_MS);
    } finally {
      await fleet.stop();
    }
  },
};

export default documentsDimension;

import measureWindow from '../measurement/measureWindow';
import sleep from '../measurement/sleep';
import COLLECTION_SETTLE_MS from './collectionSettleMs';
import type Dimension from './dimension';
import startMeasuredFleet from './startMeasuredFleet';
import touchGroups from './touchGroups';

const GROUPS = 3;
const ACCOUNTS = 8;
const WINDOW_MS = 10_000;

/** Idle VMs of one fleet; 3 groups and 8 client accounts. */
const vmsDimension: Dimension = {
  name: 'vms',
  unit: 'VM',
  sizes: [2, 4, 8, 16, 32, 48],
  measure: async (vms) => {
    const { fleet, key } = await startMeasuredFleet({ vms, groups: GROUPS, accounts: ACCOUNTS });
    try {
      await touchGroups(fleet, key, GROUPS);
      await sleep(COLLECTION_SETTLE_MS);
      return await measureWindow(fleet, WINDOW_MS);
    } finally {
      await fleet.stop();
    }
  },
};

export default vmsDimension;

import measureWindow from '../measurement/measureWindow';
import sleep from '../measurement/sleep';
import COLLECTION_SETTLE_MS from './collectionSettleMs';
import type Dimension from './dimension';
import startMeasuredFleet from './startMeasuredFleet';
import touchGroups from './touchGroups';

const VMS = 3;
const ACCOUNTS = 8;
const WINDOW_MS = 10_000;

/** Idle groups that each of 3 VMs holds (3 slots a group, 3 members a group). */
const groupsDimension: Dimension = {
  name: 'groups',
  unit: 'held group',
  sizes: [1, 4, 12, 36],
  measure: async (groups) => {
    const { fleet, key } = await startMeasuredFleet({ vms: VMS, groups, accounts: ACCOUNTS });
    try {
      await touchGroups(fleet, key, groups);
      // Longer than a group stays busy after its last request.
      await sleep(COLLECTION_SETTLE_MS);
      return await measureWindow(fleet, WINDOW_MS);
    } finally {
      await fleet.stop();
    }
  },
};

export default groupsDimension;

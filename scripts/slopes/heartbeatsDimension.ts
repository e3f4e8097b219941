import measureWindow from '../measurement/measureWindow';
import sleep from '../measurement/sleep';
import COLLECTION_SETTLE_MS from './collectionSettleMs';
import type Dimension from './dimension';
import startMeasuredFleet from './startMeasuredFleet';

/** Three others in the same data centre are the witnesses of each VM. */
const VMS = 4;
const ACCOUNTS = 8;
const WINDOW_MS = 10_000;
const MS_PER_S = 1_000;
const RENEWALS_PER_LEASE = 3;

/** Renewals a second of the lease of each VM, by the length of the lease; 1 is the default. */
const heartbeatsDimension: Dimension = {
  name: 'heartbeats',
  unit: 'renewal of a lease a second',
  sizes: [0.5, 1, 2, 4],
  measure: async (renewalsPerS) => {
    const { fleet } = await startMeasuredFleet({
      vms: VMS,
      dataCentres: 1,
      groups: 1,
      accounts: ACCOUNTS,
      vmSettings: { admission: { vmLeaseMs: (RENEWALS_PER_LEASE * MS_PER_S) / renewalsPerS } },
    });
    try {
      await sleep(COLLECTION_SETTLE_MS);
      return await measureWindow(fleet, WINDOW_MS);
    } finally {
      await fleet.stop();
    }
  },
};

export default heartbeatsDimension;

import type createSlopeReader from './createSlopeReader';
import type sizes from './sizes';

/** Writes that one change of primary makes: the claim of the term and its end. */
const WRITES_PER_PRIMARY_CHANGE = 2;

/** Works out the platform's calls at a size, from measured slopes. */
const platformRow = (
  slopes: ReturnType<typeof createSlopeReader>,
  size: (typeof sizes)['future'],
) => ({
  vms: size.vms,
  relays: size.relays,
  waitingWatches: size.relays * slopes.base('connections', 'platformWatchesOpen'),
  readsPerS:
    size.relays * slopes.base('connections', 'platformReadsPerS') +
    size.changesPerS * slopes.slope('changes', 'platformReadsPerS'),
  leaseCallsPerS: size.vms * slopes.slope('vms', 'platformLeaseCallsPerS'),
  writesPerS:
    size.vms * slopes.slope('vms', 'platformWritesPerS') +
    size.changesPerS +
    size.primaryChangesPerS * WRITES_PER_PRIMARY_CHANGE,
  vmStartsPerS: size.vmStartsPerS,
});

export default platformRow;

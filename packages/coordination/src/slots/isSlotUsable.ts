import slotTimings from './slotTimings';

interface SlotUse {
  nowMs: number;
  /** The configuration, by which this VM holds the slot, was complete at this time. */
  completeAtMs: number;
  /** From when the VM that held the slot before can't use it any more. */
  freeAtMs: number;
}

/**
 * Whether a VM that holds a slot by its record may have connections. Whoever takes the slot
 * over waits for longer than the lease from its write, and by then this VM either knows of
 * the write or its lease is over. All times are of this process's monotonic clock.
 */
const isSlotUsable = ({ nowMs, completeAtMs, freeAtMs }: SlotUse): boolean =>
  nowMs >= freeAtMs && nowMs - completeAtMs <= slotTimings.leaseMs;

export default isSlotUsable;

import slotTimings from './slotTimings';

interface SlotTimes {
  nowMs: number;
  /** Time at which the configuration that assigns the slot was last known to be complete. */
  completeAtMs: number;
  /** Time from which the previous holder can no longer use the slot. */
  freeAtMs: number;
}

/**
 * Whether a VM to which the record assigns a slot may open connections. A VM that takes the slot
 * over waits longer than the lease after its write; by then this VM has either read the write or
 * its lease has expired. All times are of this process's monotonic clock.
 */
const isSlotUsable = ({ nowMs, completeAtMs, freeAtMs }: SlotTimes): boolean =>
  nowMs >= freeAtMs && nowMs - completeAtMs <= slotTimings.leaseMs;

export default isSlotUsable;

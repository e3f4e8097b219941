/** How long a slot's VM uses its connections after the last proof that its configuration is complete. */
const LEASE_MS = 4_500;
/** A member closes a connection that has been idle for longer, also one of a paused VM. */
const IDLE_TIMEOUT_MS = 3_000;
/** Covers the interval at which a VM checks its lease, and clocks that run unevenly. */
const MARGIN_MS = 1_000;

/** The times on which the safety of slots rests; a slot taken over is used after `takeOverMs`. */
const slotTimings = {
  leaseMs: LEASE_MS,
  idleTimeoutMs: IDLE_TIMEOUT_MS,
  takeOverMs: LEASE_MS + IDLE_TIMEOUT_MS + MARGIN_MS,
} as const;

export default slotTimings;

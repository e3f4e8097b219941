/** How long a slot may be used after the last proof that the VM's configuration is complete. */
const LEASE_MS = 4_500;
/** A member closes connections that are idle for longer, including those of a paused VM. */
const IDLE_TIMEOUT_MS = 3_000;
/** Covers the interval at which a VM checks its lease, and clock drift. */
const MARGIN_MS = 1_000;

/** Times that keep a slot with one VM at a time; a slot taken over is usable after `takeOverMs`. */
const slotTimings = {
  leaseMs: LEASE_MS,
  idleTimeoutMs: IDLE_TIMEOUT_MS,
  takeOverMs: LEASE_MS + IDLE_TIMEOUT_MS + MARGIN_MS,
} as const;

export default slotTimings;

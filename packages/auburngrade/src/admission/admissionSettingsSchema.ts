import { z } from 'zod';

/** Settings for enforcing client accounts' rate limits across the fleet. */
const admissionSettingsSchema = z.strictObject({
  /** `equalParts` gives each VM an equal fraction of every rate; a baseline for comparison. */
  mode: z.enum(['shares', 'equalParts']).default('shares'),
  /** How long a VM may use its quota units after the quota allocator's last answer. */
  shareLeaseMs: z.number().int().min(1_000).max(3_600_000).default(600_000),
  /**
   * How long a VM may use quota units after its witnesses last renewed its lease. The units of
   * a failed VM can be reclaimed after this time.
   */
  vmLeaseMs: z.number().int().min(500).max(60_000).default(3_000),
  /** How long a request waits for tokens from other VMs before it is refused. */
  maxWaitMs: z.number().int().min(0).max(5_000).default(400),
  /**
   * Longest wait while a VM that may have tokens does not answer: its lease can expire in
   * that time and its units be reclaimed. An earlier request deadline takes precedence.
   */
  maxSilentWaitMs: z.number().int().min(0).max(60_000).default(4_000),
});

export default admissionSettingsSchema;

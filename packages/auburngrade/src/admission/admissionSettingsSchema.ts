import { z } from 'zod';

/** How client accounts' rates are kept over the fleet. */
const admissionSettingsSchema = z.strictObject({
  /** `equalParts` gives each VM the same part of every rate; it is kept as a baseline. */
  mode: z.enum(['shares', 'equalParts']).default('shares'),
  /** How long a VM may spend its share without an answer of the share's keeper. */
  shareLeaseMs: z.number().int().min(1_000).max(3_600_000).default(600_000),
  /**
   * How long a VM may spend shares without an answer of its witnesses. The shares of a dead VM
   * return after it.
   */
  vmLeaseMs: z.number().int().min(500).max(60_000).default(3_000),
  /** How long a request waits for tokens from other VMs before it is refused. */
  maxWaitMs: z.number().int().min(0).max(5_000).default(400),
  /**
   * The same while another VM that may have tokens does not answer: its lease lapses meanwhile,
   * and its tokens return. The request's deadline comes first.
   */
  maxSilentWaitMs: z.number().int().min(0).max(60_000).default(4_000),
});

export default admissionSettingsSchema;

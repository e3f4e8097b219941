import type { ConfigurationEntry } from '@auburngrade/coordination';

/** Outcome of a conditional write: `unknown` may have taken effect, `unavailable` has not. */
type WriteOutcome =
  | { kind: 'applied'; revision: number }
  | { kind: 'conflict'; revision: number; current: ConfigurationEntry[] }
  | { kind: 'unknown'; message: string }
  | { kind: 'unavailable'; message: string };

export default WriteOutcome;

import type { ConfigurationEntry } from '@auburngrade/coordination';

/** What became of a conditional write; `unknown` means that it may have taken effect. */
type WriteOutcome =
  | { kind: 'applied'; revision: number }
  | { kind: 'conflict'; revision: number; current: ConfigurationEntry[] }
  | { kind: 'unknown'; message: string }
  | { kind: 'unavailable'; message: string };

export default WriteOutcome;

/** How fresh the reads of a database must be. `ownWrites` also requires the session's own commits. */
type Freshness =
  | { kind: 'primary' }
  | { kind: 'maxAge'; maxAgeMs: number }
  | { kind: 'ownWrites'; maxAgeMs: number };

export default Freshness;

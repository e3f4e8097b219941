/** Required freshness of reads; `ownWrites` also lets a session read its own commits. */
type Freshness =
  | { kind: 'primary' }
  | { kind: 'maxAge'; maxAgeMs: number }
  | { kind: 'ownWrites'; maxAgeMs: number };

export default Freshness;

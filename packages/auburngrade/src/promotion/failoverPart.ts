/** Consecutive parts of a change of primary, as in the label `part` of the failover metric. */
type FailoverPart = 'detect' | 'cas' | 'fence' | 'promote' | 'publish';

export default FailoverPart;

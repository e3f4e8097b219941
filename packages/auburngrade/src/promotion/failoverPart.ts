/** Consecutive parts of a change of primary. */
type FailoverPart = 'detect' | 'cas' | 'fence' | 'promote' | 'publish';

export default FailoverPart;

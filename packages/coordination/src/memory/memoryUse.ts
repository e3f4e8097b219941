/**
 * What callers' bytes are held for: read and not passed on yet; statements that are not answered; answers that the
 * caller has not read; values and prepared statements of its session; long statements on their way to the owner, and calls
 * of other VMs, with results that these have not read.
 */
type MemoryUse = 'input' | 'statements' | 'answers' | 'state' | 'forwarded';

export default MemoryUse;

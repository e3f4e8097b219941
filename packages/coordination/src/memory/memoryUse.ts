/**
 * What callers' bytes are held for: read and not passed on yet; statements that are not answered; answers that the
 * caller has not read; calls of other VMs, with results that these have not read.
 */
type MemoryUse = 'input' | 'statements' | 'answers' | 'forwarded';

export default MemoryUse;

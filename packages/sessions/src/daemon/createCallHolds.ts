import type CallerGuard from '../limits/callerGuard';

/** Part of the callers' memory, on top of it. */
const VALUES_RATIO = 0.25;
/** Some messages of the longest size, however small the machine. */
const MIN_VALUES_BYTES = 4 * 1_048_576;

/** The memory that statements, those of other VMs, their results and the values of their sessions may take. */
const createCallHolds = ({ memory, note, limits }: CallerGuard) => ({
  holdCall: (account: string, byteCount: number): (() => void) | undefined => {
    const release = memory.forward(account, byteCount);
    if (!release) note('forwarded', account, byteCount);
    return release;
  },
  holdResult: memory.holdForwarded,
  maxValuesBytes: Math.max(MIN_VALUES_BYTES, Math.floor(limits.memoryBytes * VALUES_RATIO)),
});

export default createCallHolds;

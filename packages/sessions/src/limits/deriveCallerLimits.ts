import type CallerLimits from './callerLimits';

const BYTES_PER_MB = 1_048_576;
/**
 * A byte that is counted once is held about three times, as read, as text and on its way to another VM or endpoint, and
 * as much again until the garbage is collected. With 15 %, a VM of 200 MB reached 200 MB; with 10 %, 186 MB.
 */
const MEMORY_RATIO = 0.1;
/** Some messages of the longest size, however small the machine. */
const MIN_MEMORY_BYTES = 8 * BYTES_PER_MB;
/** The rest is for endpoints, other VMs, the store, operators and the process itself. */
const DESCRIPTOR_RATIO = 0.8;
const RESERVED_DESCRIPTORS = 32;
const DEFAULT_STARTUP_TIMEOUT_MS = 10_000;
const DEFAULT_MESSAGE_GAP_MS = 10_000;
const DEFAULT_ANSWER_READ_TIMEOUT_MS = 60_000;

interface MachineLimits extends Partial<CallerLimits> {
  memoryMb: number;
  /** Open descriptors that the process may have; undefined if no limit is known. */
  maxDescriptors?: number;
}

/** Derives the bounds from the machine's limits; those that are set replace the derived ones. */
const deriveCallerLimits = ({
  memoryMb,
  maxDescriptors = Number.POSITIVE_INFINITY,
  ...set
}: MachineLimits): CallerLimits => ({
  memoryBytes:
    set.memoryBytes ??
    Math.max(MIN_MEMORY_BYTES, Math.floor(memoryMb * BYTES_PER_MB * MEMORY_RATIO)),
  maxConnections:
    set.maxConnections ??
    Math.max(1, Math.floor(maxDescriptors * DESCRIPTOR_RATIO) - RESERVED_DESCRIPTORS),
  startupTimeoutMs: set.startupTimeoutMs ?? DEFAULT_STARTUP_TIMEOUT_MS,
  messageGapMs: set.messageGapMs ?? DEFAULT_MESSAGE_GAP_MS,
  answerReadTimeoutMs: set.answerReadTimeoutMs ?? DEFAULT_ANSWER_READ_TIMEOUT_MS,
});

export default deriveCallerLimits;

interface ReadingInput {
  /** Statements that were read and not answered. */
  outstandingStatements: number;
  /** Bytes that were read, other than those of the statement that runs. */
  readAheadBytes: number;
  /** Bytes of answers that the caller has not read. */
  unsentBytes: number;
  /** Whether the memory budget is nearly used up. */
  isMemoryShort: boolean;
}

const MAX_READ_AHEAD_BYTES = 65_536;
const MAX_READ_AHEAD_STATEMENTS = 16;
const MAX_UNSENT_BYTES = 65_536;

/** Decides whether to read on from a caller; if not, its bytes wait in the system's buffers, and then at the caller. */
const shouldRead = (input: ReadingInput): boolean => {
  if (input.unsentBytes > MAX_UNSENT_BYTES) return false;
  if (input.outstandingStatements === 0) return true;
  if (input.isMemoryShort) return false;
  return (
    input.outstandingStatements < MAX_READ_AHEAD_STATEMENTS &&
    input.readAheadBytes < MAX_READ_AHEAD_BYTES
  );
};

export default shouldRead;

/** Feeds a decision from a trace; times are those of the trace's virtual clock. */
abstract class TraceDriver {
  /** Applies one event. */
  abstract apply(name: string, input: unknown, atMs: number): void;

  /** Gives the value that an expectation is compared with. */
  abstract observe(name: string, input: unknown, atMs: number): unknown;
}

export default TraceDriver;

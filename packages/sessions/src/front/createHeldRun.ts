import createRefusal from '../group/createRefusal';
import countCallBytes from '../limits/countCallBytes';
import countValuesBytes from '../limits/countValuesBytes';
import type StatementResult from '../seams/statementResult';
import type SessionCall from './sessionCall';

type Run = (call: SessionCall, values: ReadonlyMap<string, string>) => Promise<StatementResult>;

interface HeldRunOptions {
  run: Run;
  /** Takes up memory until the returned function is called; undefined without room. */
  holdCall(account: string, byteCount: number): (() => void) | undefined;
  /** The same for what is always held. */
  holdResult(account: string, byteCount: number): () => void;
}

/** A statement that holds less is not counted, which saves the time for the usual short one. */
const MIN_COUNTED_BYTES = 2_048;
const NO_MEMORY =
  'statements hold too much of the memory that this VM has for callers; retry in 200 ms';

/**
 * Runs statements while their memory is counted, also once their caller has left. One that finds no memory is refused as
 * not run, unless it belongs to an open transaction.
 */
const createHeldRun =
  ({ run, holdCall, holdResult }: HeldRunOptions): Run =>
  async (call, values) => {
    const byteCount = countCallBytes(call) + countValuesBytes(values);
    if (byteCount < MIN_COUNTED_BYTES) return run(call, values);
    const isContinuation = call.transaction !== 0 && !call.opensTransaction;
    const hold = isContinuation ? holdResult : holdCall;
    const release = hold(call.account, byteCount);
    if (!release) return createRefusal('busy', NO_MEMORY);
    try {
      return await run(call, values);
    } finally {
      release();
    }
  };

export default createHeldRun;

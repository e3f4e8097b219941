import type ConditionalPut from './conditionalPut';
import type RangeOutcome from './rangeOutcome';
import type WatchListener from './watchListener';
import type WriteOutcome from './writeOutcome';

/** The platform's key-value service, as far as this project needs it. */
abstract class Platform {
  /** Reads all keys below the prefix. @throws RefusalError `platformUnavailable`. */
  abstract range(prefix: string, timeoutMs: number): Promise<RangeOutcome>;

  /** Applies all writes or none. */
  abstract compareAndSwap(puts: ConditionalPut[], timeoutMs: number): Promise<WriteOutcome>;

  /** Follows changes below the prefix after `fromRevision`; returns the function that ends it. */
  abstract watch(prefix: string, fromRevision: number, listener: WatchListener): () => void;

  /** Replaces connections that no longer answer; open watches end. */
  reconnect(): void {}

  abstract close(): void;
}

export default Platform;

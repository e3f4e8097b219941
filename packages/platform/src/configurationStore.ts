import type ConditionalWrite from './conditionalWrite';
import type RangeOutcome from './rangeOutcome';
import type WatchListener from './watchListener';
import type WriteOutcome from './writeOutcome';

/** Client of the configuration store: the platform's key-value service with revisions and watches. */
abstract class ConfigurationStore {
  /** Reads all keys with the prefix, at one revision. @throws RefusalError `platformUnavailable`. */
  abstract range(prefix: string, timeoutMs: number): Promise<RangeOutcome>;

  /** Applies all writes or none; failures are part of the outcome. */
  abstract compareAndSwap(writes: ConditionalWrite[], timeoutMs: number): Promise<WriteOutcome>;

  /** Watches keys with the prefix for changes after `fromRevision`; returns a cancel function. */
  abstract watch(prefix: string, fromRevision: number, listener: WatchListener): () => void;

  /** Replaces all connections, for use when they no longer answer; open watches end. */
  reconnect(): void {}

  abstract close(): void;
}

export default ConfigurationStore;

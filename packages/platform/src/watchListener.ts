import type { ConfigurationEntry } from '@auburngrade/coordination';

/** Receives the reports of a watch. `onEnd` is called at most once, as the last call. */
interface WatchListener {
  onChanges(revision: number, entries: ConfigurationEntry[]): void;
  onProgress(revision: number): void;
  onEnd(reason: string): void;
}

export default WatchListener;

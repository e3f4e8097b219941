import type { ConfigurationEntry } from '@auburngrade/coordination';

/** Receives what a watch reports; after `onEnd` nothing more comes. */
interface WatchListener {
  onChanges(revision: number, entries: ConfigurationEntry[]): void;
  onProgress(revision: number): void;
  onEnd(reason: string): void;
}

export default WatchListener;

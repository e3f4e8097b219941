import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import type StorePosition from '../seams/storePosition';
import type StoredItem from '../seams/storedItem';
import sleep from '../time/sleep';

/** Delay after a failed call; doubles with each further failure up to the maximum. */
const INITIAL_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_500;
/** Delay after changes: later ones arrive in one call, and VMs push documents to each other sooner anyway. */
const EVENT_BATCH_DELAY_MS = 200;

type WatchAnswer = Exclude<Awaited<ReturnType<MetadataStore['watch']>>, 'compacted'>;

interface StoreWatcherOptions {
  store: MetadataStore;
  prefix: string;
  /** Time limit of one watch call; a watch that silently misses changes is replaced after this time. */
  waitMs(): number;
  log: EventLog;
  /**
   * Receives all items under the prefix: once at start, and again after the store compacted its history or
   * came back from a copy.
   */
  onList(items: StoredItem[], position: StorePosition): void;
  /** Receives changes with the position that the watch began after; their own revisions are later. */
  onEvents(events: WatchAnswer['events'], after: StorePosition): void;
}

/** Mirrors all items under a prefix of the store: lists them once, then watches from that revision on. */
const createStoreWatcher = (options: StoreWatcherOptions) => {
  const { store, prefix, log } = options;
  let position: StorePosition | undefined;
  let retryDelayMs = INITIAL_RETRY_DELAY_MS;
  let isReachable = true;
  let isClosed = false;

  const listOrWatch = async (): Promise<void> => {
    if (position === undefined) {
      const { items, era, revision } = await store.list(prefix);
      log.info('store.listed', { prefix, era, revision, items: items.length });
      const listedAt = { era, revision };
      options.onList(items, listedAt);
      position = listedAt;
      return;
    }
    const answer = await store.watch(prefix, position, options.waitMs());
    if (answer === 'compacted') {
      log.info('store.compacted', { prefix, ...position });
      position = undefined;
      return;
    }
    if (answer.events.length === 0) return;
    options.onEvents(answer.events, position);
    // Only received events advance the revision: an empty answer may come from a watch that missed a change.
    const { era, revision } = position;
    position = {
      era,
      revision: Math.max(revision, ...answer.events.map((event) => event.revision)),
    };
    await sleep(EVENT_BATCH_DELAY_MS);
  };

  const runWatchLoop = async (): Promise<void> => {
    while (!isClosed) {
      try {
        await listOrWatch();
        if (!isReachable) log.info('store.regained', { prefix, ...position });
        isReachable = true;
        retryDelayMs = INITIAL_RETRY_DELAY_MS;
      } catch (error) {
        if (isReachable) log.warn('store.lost', { prefix, ...position, reason: String(error) });
        isReachable = false;
        await sleep(retryDelayMs);
        retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
      }
    }
  };
  runWatchLoop();

  return {
    isReachable: () => isReachable && position !== undefined,
    close: (): void => {
      isClosed = true;
    },
  };
};

export default createStoreWatcher;

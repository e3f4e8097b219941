import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import type StoredItem from '../seams/storedItem';

/** Pause after a call in vain; grows with each further one up to the longest. */
const FIRST_PAUSE_MS = 100;
const LONGEST_PAUSE_MS = 1_500;
/** Pause after changes: those that follow within it come with one call, and VMs tell each other sooner. */
const CHANGES_PAUSE_MS = 200;

type WatchAnswer = Exclude<Awaited<ReturnType<MetadataStore['watch']>>, 'compacted'>;

interface StoreFollowerOptions {
  store: MetadataStore;
  prefix: string;
  /** How long one watch waits: a watch that hears nothing is noticed after this time. */
  waitMs(): number;
  log: EventLog;
  /** All items under the prefix, as of a revision. */
  onList(items: StoredItem[]): void;
  onEvents(events: WatchAnswer['events']): void;
}

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Follows all items under a prefix of the store: a list, then watches, and a list again when needed. */
const createStoreFollower = (options: StoreFollowerOptions) => {
  const { store, prefix, log } = options;
  let revision: number | undefined;
  let pauseMs = FIRST_PAUSE_MS;
  let isReachable = true;
  let isClosed = false;

  const step = async (): Promise<void> => {
    if (revision === undefined) {
      const listed = await store.list(prefix);
      options.onList(listed.items);
      revision = listed.revision;
      return;
    }
    const answer = await store.watch(prefix, revision, options.waitMs());
    if (answer === 'compacted') {
      log.info('store.compacted', { prefix, revision });
      revision = undefined;
      return;
    }
    if (answer.events.length === 0) return;
    options.onEvents(answer.events);
    // Only what was heard moves the revision: an empty answer may come from a watch that missed a change.
    revision = Math.max(revision, ...answer.events.map((event) => event.revision));
    await sleep(CHANGES_PAUSE_MS);
  };

  const run = async (): Promise<void> => {
    while (!isClosed) {
      try {
        await step();
        if (!isReachable) log.info('store.regained', { prefix, revision });
        isReachable = true;
        pauseMs = FIRST_PAUSE_MS;
      } catch (error) {
        if (isReachable) log.warn('store.lost', { prefix, revision, reason: String(error) });
        isReachable = false;
        await sleep(pauseMs);
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
      }
    }
  };
  run();

  return {
    isReachable: () => isReachable && revision !== undefined,
    close: (): void => {
      isClosed = true;
    },
  };
};

export default createStoreFollower;

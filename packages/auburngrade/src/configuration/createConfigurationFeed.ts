import {
  createChangeBatch,
  type ConfigurationDifference,
  type ConfigurationEntry,
  type ConfigurationState,
} from '@auburngrade/coordination';
import type { ConfigurationUpdate, FollowRequest, FollowSession } from '@auburngrade/vm';

/** Ages in milliseconds of a VM's configuration and outage proof; -1 when unknown. */
interface ConfirmationAges {
  confirmedAgeMs: number;
  outageAgeMs: number;
}

const ENTRIES_PER_UPDATE = 1_000;

const toUpdateEntry = ({ key, valueJson, modRevision }: ConfigurationEntry) => ({
  key,
  valueJson: valueJson ?? '',
  modRevision,
  deleted: valueJson === undefined,
});

const splitIntoPages = (entries: readonly ConfigurationEntry[]): ConfigurationEntry[][] => {
  const pageCount = Math.max(1, Math.ceil(entries.length / ENTRIES_PER_UPDATE));
  return Array.from({ length: pageCount }, (_, page) =>
    entries.slice(page * ENTRIES_PER_UPDATE, (page + 1) * ENTRIES_PER_UPDATE),
  );
};

/**
 * Serves this VM's configuration to its followers. Changes are batched until the follower's
 * next request; an urgent change is sent at once, together with the batch.
 */
const createConfigurationFeed = (state: ConfigurationState, readAges: () => ConfirmationAges) => {
  const sessions = new Set<FollowSession>();

  const open = (send: (update: ConfigurationUpdate) => void): FollowSession => {
    const batch = createChangeBatch();
    let ping = 0;
    /** Revision last sent to the follower; 0 before the first. */
    let sentRevision = 0;

    const sendDifference = ({ isSnapshot, entries }: ConfigurationDifference): void => {
      const pages = splitIntoPages(entries);
      sentRevision = state.revision();
      pages.forEach((page, index) =>
        send({
          ...readAges(),
          revision: sentRevision,
          snapshot: isSnapshot,
          entries: page.map(toUpdateEntry),
          more: index < pages.length - 1,
          ping,
        }),
      );
    };

    const sendPending = (): void => {
      const entries = batch.take();
      sendDifference(
        entries ? { isSnapshot: false, entries } : state.getDifferenceSince(sentRevision),
      );
    };

    const unsubscribe = state.onChange((changed) => {
      if (sentRevision > 0 && batch.add(changed)) sendPending();
    });

    const session: FollowSession = {
      onRequest: (request: FollowRequest) => {
        ping = request.ping;
        if (sentRevision > 0) sendPending();
        else if (state.revision() > 0)
          sendDifference(state.getDifferenceSince(request.fromRevision));
        else sendDifference({ isSnapshot: false, entries: [] });
      },
      close: () => {
        unsubscribe();
        sessions.delete(session);
      },
    };
    sessions.add(session);
    return session;
  };

  return { open, followerCount: () => sessions.size };
};

export default createConfigurationFeed;

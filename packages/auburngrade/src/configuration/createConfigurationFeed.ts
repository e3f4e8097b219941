import {
  createChangeBatch,
  type ConfigurationDifference,
  type ConfigurationEntry,
  type ConfigurationState,
} from '@auburngrade/coordination';
import type { ConfigurationUpdate, FollowRequest, FollowSession } from '@auburngrade/vm';

/** What a VM states about how recent its configuration is; -1 when it does not know. */
interface StatedAges {
  confirmedAgeMs: number;
  outageAgeMs: number;
}

const ENTRIES_PER_UPDATE = 1_000;

const toWire = ({ key, valueJson, modRevision }: ConfigurationEntry) => ({
  key,
  valueJson: valueJson ?? '',
  modRevision,
  deleted: valueJson === undefined,
});

const pagesOf = (entries: readonly ConfigurationEntry[]): ConfigurationEntry[][] => {
  const pageCount = Math.max(1, Math.ceil(entries.length / ENTRIES_PER_UPDATE));
  return Array.from({ length: pageCount }, (_, page) =>
    entries.slice(page * ENTRIES_PER_UPDATE, (page + 1) * ENTRIES_PER_UPDATE),
  );
};

/**
 * Serves this VM's configuration to the VMs that follow it. Changes are gathered until the
 * follower's next request; urgent ones are sent at once, with those that waited.
 */
const createConfigurationFeed = (state: ConfigurationState, statedAges: () => StatedAges) => {
  const sessions = new Set<FollowSession>();

  const open = (send: (update: ConfigurationUpdate) => void): FollowSession => {
    const batch = createChangeBatch();
    let ping = 0;
    /** Revision that the follower was told; 0 until it was told the first one. */
    let sentRevision = 0;

    const sendDifference = ({ isSnapshot, entries }: ConfigurationDifference): void => {
      const pages = pagesOf(entries);
      sentRevision = state.revision();
      pages.forEach((page, index) =>
        send({
          ...statedAges(),
          revision: sentRevision,
          snapshot: isSnapshot,
          entries: page.map(toWire),
          more: index < pages.length - 1,
          ping,
        }),
      );
    };

    const sendWaiting = (): void => {
      const entries = batch.take();
      sendDifference(entries ? { isSnapshot: false, entries } : state.since(sentRevision));
    };

    const stopChanges = state.onChange((changed) => {
      if (sentRevision > 0 && batch.add(changed)) sendWaiting();
    });

    const session: FollowSession = {
      onRequest: (request: FollowRequest) => {
        ping = request.ping;
        if (sentRevision > 0) sendWaiting();
        else if (state.revision() > 0) sendDifference(state.since(request.fromRevision));
        else sendDifference({ isSnapshot: false, entries: [] });
      },
      close: () => {
        stopChanges();
        sessions.delete(session);
      },
    };
    sessions.add(session);
    return session;
  };

  return { open, followerCount: () => sessions.size };
};

export default createConfigurationFeed;

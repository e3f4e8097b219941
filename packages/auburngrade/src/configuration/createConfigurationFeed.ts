import type { ConfigurationEntry, ConfigurationState } from '@auburngrade/coordination';
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

/** Serves this VM's configuration to the VMs that follow it. */
const createConfigurationFeed = (state: ConfigurationState, statedAges: () => StatedAges) => {
  const sessions = new Set<FollowSession>();

  const open = (send: (update: ConfigurationUpdate) => void): FollowSession => {
    let ping = 0;
    let isStarted = false;

    const sendEntries = (isSnapshot: boolean, entries: readonly ConfigurationEntry[]): void => {
      const pages = pagesOf(entries);
      pages.forEach((page, index) =>
        send({
          ...statedAges(),
          revision: state.revision(),
          snapshot: isSnapshot,
          entries: page.map(toWire),
          more: index < pages.length - 1,
          ping,
        }),
      );
    };

    const stopChanges = state.onChange((changed) => {
      if (isStarted) sendEntries(false, changed);
    });

    const session: FollowSession = {
      onRequest: (request: FollowRequest) => {
        ping = request.ping;
        const isFirst = !isStarted && state.revision() > 0;
        const { isSnapshot, entries } = isFirst
          ? state.since(request.fromRevision)
          : { isSnapshot: false, entries: [] };
        isStarted ||= isFirst;
        sendEntries(isSnapshot, entries);
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

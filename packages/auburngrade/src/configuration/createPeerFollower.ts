import type { ConfigurationEntry, ConfigurationState } from '@auburngrade/coordination';
import type { ConfigurationUpdate, FollowRequest } from '@auburngrade/vm';
import sleep from '../time/sleep';

type EndReason = 'unreachable' | 'stale' | 'notNeeded';

interface FollowStream {
  send(request: FollowRequest): void;
  close(): void;
}

interface FollowListener {
  onUpdate(update: ConfigurationUpdate): void;
  onEnd(reason: string): void;
}

interface PeerFollowerOptions {
  vm: string;
  state: ConfigurationState;
  /** Returns the VM to follow, or undefined while none is needed. */
  chooseSource(): { id: string; address: string } | undefined;
  /** Whether to continue following the source; checked before each ping. */
  shouldKeepSource(id: string): boolean;
  open(address: string, listener: FollowListener): FollowStream;
  onSuccess(id: string): void;
  onFailure(id: string, reason: Exclude<EndReason, 'notNeeded'>): void;
  /** Receives the monotonic times proven by an update; -Infinity where it proves none. */
  onConfirmed(confirmedAtMs: number, outageAtMs: number): void;
  nowMs(): number;
}

const PING_INTERVAL_MS = 500;
const SILENCE_TIMEOUT_MS = 1_500;
const MAX_CONFIRMATION_AGE_MS = 2_500;
const IDLE_DELAY_MS = 100;
const MAX_JITTER_MS = 100;
/** Number of latest pings whose send times are kept. */
const MAX_TRACKED_PINGS = 32;

const toEntries = (update: ConfigurationUpdate): ConfigurationEntry[] =>
  update.entries.map(({ key, valueJson, modRevision, deleted }) => ({
    key,
    modRevision,
    valueJson: deleted ? undefined : valueJson,
  }));

/** Keeps the configuration up to date from another VM; after a failure it chooses a source again. */
const createPeerFollower = (options: PeerFollowerOptions) => {
  const { vm, state, nowMs } = options;
  let isStopped = false;
  let endCurrentSession = (): void => {};
  let sourceId: string | undefined;

  const followOnce = (id: string, address: string): Promise<EndReason> =>
    new Promise((resolve) => {
      const pingSentAtMs = new Map<number, number>();
      const openedAtMs = nowMs();
      let lastUpdateAtMs = openedAtMs;
      let lastFreshAtMs = openedAtMs;
      let ping = 0;
      let pendingEntries: ConfigurationEntry[] = [];
      let stream: FollowStream | undefined;
      let timer: NodeJS.Timeout | undefined;
      let isEnded = false;
      let unsubscribe = (): void => {};
      /** First ping sent while the configuration had to catch up with what the store has lost. */
      let catchUpPing: number | undefined;

      const end = (reason: EndReason): void => {
        if (isEnded) return;
        isEnded = true;
        clearInterval(timer);
        unsubscribe();
        stream?.close();
        resolve(reason);
      };

      /** The age was determined after the echoed ping was sent, so subtracting it from that time is safe. */
      const computeProvenAtMs = (update: ConfigurationUpdate, ageMs: number): number => {
        const echoedPingSentAtMs = pingSentAtMs.get(update.ping);
        return echoedPingSentAtMs === undefined || ageMs < 0
          ? Number.NEGATIVE_INFINITY
          : echoedPingSentAtMs - ageMs;
      };

      const applyUpdate = (update: ConfigurationUpdate): void => {
        pendingEntries.push(...toEntries(update));
        if (update.more) return;
        if (update.snapshot) state.applySnapshot(update.revision, pendingEntries, false);
        else state.applyChanges(update.revision, pendingEntries);
        pendingEntries = [];
        if (catchUpPing === undefined || update.ping < catchUpPing) return;
        catchUpPing = undefined;
        state.completeCatchUp();
      };

      const onUpdate = (update: ConfigurationUpdate): void => {
        if (isEnded) return;
        lastUpdateAtMs = nowMs();
        if (update.revision === 0) return;
        applyUpdate(update);
        const confirmedAtMs = computeProvenAtMs(update, update.more ? -1 : update.confirmedAgeMs);
        options.onConfirmed(
          confirmedAtMs,
          computeProvenAtMs(update, update.more ? -1 : update.outageAgeMs),
        );
        if (nowMs() - confirmedAtMs < MAX_CONFIRMATION_AGE_MS) lastFreshAtMs = nowMs();
        options.onSuccess(id);
      };

      const sendPing = (): void => {
        ping += 1;
        pingSentAtMs.set(ping, nowMs());
        pingSentAtMs.delete(ping - MAX_TRACKED_PINGS);
        const catchUpRevision = state.catchUpRevision();
        if (catchUpRevision !== undefined) catchUpPing ??= ping;
        stream?.send({ vm, fromRevision: catchUpRevision ?? state.revision(), ping });
      };

      const checkSession = (): void => {
        if (isStopped || !options.shouldKeepSource(id)) end('notNeeded');
        else if (nowMs() - lastUpdateAtMs > SILENCE_TIMEOUT_MS) end('unreachable');
        else if (nowMs() - lastFreshAtMs > MAX_CONFIRMATION_AGE_MS) end('stale');
        else sendPing();
      };

      stream = options.open(address, { onUpdate, onEnd: () => end('unreachable') });
      sendPing();
      unsubscribe = state.onChange(() => {
        if (state.catchUpRevision() !== undefined && catchUpPing === undefined) sendPing();
      });
      timer = setInterval(checkSession, PING_INTERVAL_MS);
      endCurrentSession = () => end('notNeeded');
    });

  const run = async (): Promise<void> => {
    while (!isStopped) {
      const source = options.chooseSource();
      if (source) {
        sourceId = source.id;
        const reason = await followOnce(source.id, source.address);
        sourceId = undefined;
        if (reason !== 'notNeeded') options.onFailure(source.id, reason);
      }
      await sleep(IDLE_DELAY_MS + Math.random() * MAX_JITTER_MS);
    }
  };

  return {
    start: (): void => {
      run();
    },
    /** Id of the VM being followed; undefined while there is none. */
    source: () => sourceId,
    stop: (): void => {
      isStopped = true;
      endCurrentSession();
    },
  };
};

export default createPeerFollower;

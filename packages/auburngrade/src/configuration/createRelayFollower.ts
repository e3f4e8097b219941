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

interface RelayFollowerOptions {
  vm: string;
  state: ConfigurationState;
  /** Chooses a source, or none while the VM needs none. */
  chooseSource(): { id: string; address: string } | undefined;
  /** Whether the source is still the right one to follow. */
  isStillWanted(id: string): boolean;
  open(address: string, listener: FollowListener): FollowStream;
  onSuccess(id: string): void;
  onFailure(id: string, reason: Exclude<EndReason, 'notNeeded'>): void;
  /** Told the monotonic times that an update proves; -Infinity when it proves none. */
  onConfirmed(confirmedAtMs: number, outageAtMs: number): void;
  nowMs(): number;
}

const PING_INTERVAL_MS = 500;
const SILENCE_TIMEOUT_MS = 1_500;
const STALE_AGE_MS = 2_500;
const IDLE_DELAY_MS = 100;
const MAX_JITTER_MS = 100;
/** Pings whose sending times are kept. */
const KEPT_PINGS = 32;

const toEntries = (update: ConfigurationUpdate): ConfigurationEntry[] =>
  update.entries.map(({ key, valueJson, modRevision, deleted }) => ({
    key,
    modRevision,
    valueJson: deleted ? undefined : valueJson,
  }));

/** Keeps the configuration up to date from another VM, and from a further one when that fails. */
const createRelayFollower = (options: RelayFollowerOptions) => {
  const { vm, state, nowMs } = options;
  let isStopped = false;
  let endCurrent = (): void => {};
  let sourceId: string | undefined;

  const followOnce = (id: string, address: string): Promise<EndReason> =>
    new Promise((resolve) => {
      const sentAtMs = new Map<number, number>();
      const openedAtMs = nowMs();
      let heardAtMs = openedAtMs;
      let freshAtMs = openedAtMs;
      let ping = 0;
      let pending: ConfigurationEntry[] = [];
      let stream: FollowStream | undefined;
      let timer: NodeJS.Timeout | undefined;
      let isEnded = false;

      const end = (reason: EndReason): void => {
        if (isEnded) return;
        isEnded = true;
        clearInterval(timer);
        stream?.close();
        resolve(reason);
      };

      /** An age was stated after the echoed ping was sent, so it is counted from then. */
      const provenAtMs = (update: ConfigurationUpdate, ageMs: number): number => {
        const askedAtMs = sentAtMs.get(update.ping);
        return askedAtMs === undefined || ageMs < 0 ? Number.NEGATIVE_INFINITY : askedAtMs - ageMs;
      };

      const apply = (update: ConfigurationUpdate): void => {
        pending.push(...toEntries(update));
        if (update.more) return;
        if (update.snapshot) state.applySnapshot(update.revision, pending);
        else state.applyChanges(update.revision, pending);
        pending = [];
      };

      const onUpdate = (update: ConfigurationUpdate): void => {
        if (isEnded) return;
        heardAtMs = nowMs();
        if (update.revision === 0) return;
        apply(update);
        const confirmedAtMs = provenAtMs(update, update.more ? -1 : update.confirmedAgeMs);
        options.onConfirmed(
          confirmedAtMs,
          provenAtMs(update, update.more ? -1 : update.outageAgeMs),
        );
        if (nowMs() - confirmedAtMs < STALE_AGE_MS) freshAtMs = nowMs();
        options.onSuccess(id);
      };

      const sendPing = (): void => {
        ping += 1;
        sentAtMs.set(ping, nowMs());
        sentAtMs.delete(ping - KEPT_PINGS);
        stream?.send({ vm, fromRevision: state.revision(), ping });
      };

      const check = (): void => {
        if (isStopped || !options.isStillWanted(id)) end('notNeeded');
        else if (nowMs() - heardAtMs > SILENCE_TIMEOUT_MS) end('unreachable');
        else if (nowMs() - freshAtMs > STALE_AGE_MS) end('stale');
        else sendPing();
      };

      stream = options.open(address, { onUpdate, onEnd: () => end('unreachable') });
      sendPing();
      timer = setInterval(check, PING_INTERVAL_MS);
      endCurrent = () => end('notNeeded');
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
    /** Id of the VM that is followed now. */
    source: () => sourceId,
    stop: (): void => {
      isStopped = true;
      endCurrent();
    },
  };
};

export default createRelayFollower;

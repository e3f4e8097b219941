import type { ConfigurationState } from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import type Logger from '../log/logger';
import sleep from '../time/sleep';

interface PlatformFollowerOptions {
  platform: ConfigurationStore;
  state: ConfigurationState;
  timeoutMs: number;
  /** Whether this VM should watch the platform itself. */
  isNeeded(): boolean;
  nowMs(): number;
  logger: Logger;
}

const PREFIXES = ['/auburngrade/', '/platform/vms/'];
/** A prefix without keys; reading it returns only the platform's current revision. */
const PROBE_PREFIX = '/auburngrade-revision/';
const PROBE_INTERVAL_MS = 1_000;
/** A watch that lags behind the platform's revision for longer than this is restarted. */
const WATCH_LAG_TIMEOUT_MS = 2_000;
const IDLE_DELAY_MS = 100;
const FIRST_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 2_000;

/** Keeps the configuration up to date from the platform: a full read, then watches; restarts when one ends. */
const createPlatformFollower = (options: PlatformFollowerOptions) => {
  const { platform, state, timeoutMs, nowMs, logger } = options;
  let isStopped = false;
  let endCurrentWatch = (): void => {};
  let confirmedAtMs = Number.NEGATIVE_INFINITY;
  let reachedAtMs = Number.NEGATIVE_INFINITY;
  let retryDelayMs = FIRST_RETRY_DELAY_MS;
  let probes: { askedAtMs: number; revision: number }[] = [];

  const recordReached = (): void => {
    reachedAtMs = nowMs();
    retryDelayMs = FIRST_RETRY_DELAY_MS;
  };

  /** A probe confirms the state at its start time once every change up to its revision is known. */
  const confirmProbes = (): void => {
    const confirmed = probes.filter(({ revision }) => revision <= state.revision());
    probes = probes.filter(({ revision }) => revision > state.revision());
    confirmedAtMs = Math.max(confirmedAtMs, ...confirmed.map(({ askedAtMs }) => askedAtMs));
  };

  const readAll = async (): Promise<number> => {
    const askedAtMs = nowMs();
    const ranges = await Promise.all(PREFIXES.map((prefix) => platform.range(prefix, timeoutMs)));
    recordReached();
    const revision = Math.min(...ranges.map((range) => range.revision));
    const entries = ranges.flatMap((range) => range.entries);
    if (revision < state.revision()) {
      logger.warn('platform.wentBack', { revision, knownRevision: state.revision() });
    }
    state.applySnapshot(revision, entries);
    probes = [{ askedAtMs, revision: Math.max(...ranges.map((range) => range.revision)) }];
    if (revision >= state.revision()) confirmProbes();
    return Math.max(revision, state.revision());
  };

  const runProbe = async (): Promise<void> => {
    const askedAtMs = nowMs();
    const { revision } = await platform.range(PROBE_PREFIX, timeoutMs);
    recordReached();
    if (revision < state.revision()) throw new Error(`platform revision went back to ${revision}`);
    probes.push({ askedAtMs, revision });
    confirmProbes();
    const [oldest] = probes;
    if (oldest && nowMs() - oldest.askedAtMs > WATCH_LAG_TIMEOUT_MS) {
      throw new Error('a watch lags behind the platform revision');
    }
  };

  /** Watches both prefixes until one ends; the state is complete up to the lower of their revisions. */
  const watchAll = (fromRevision: number): Promise<string> =>
    new Promise((resolve) => {
      const revisions = new Map(PREFIXES.map((prefix) => [prefix, fromRevision]));
      const stopWatches: (() => void)[] = [];
      let timer: NodeJS.Timeout | undefined;

      const end = (reason: string): void => {
        clearTimeout(timer);
        stopWatches.forEach((stop) => stop());
        resolve(reason);
      };
      const advanceRevision = (prefix: string, revision: number): number => {
        revisions.set(prefix, Math.max(revision, revisions.get(prefix) ?? 0));
        return Math.min(...revisions.values());
      };
      const scheduleProbe = (): void => {
        timer = setTimeout(() => {
          if (!options.isNeeded()) end('this VM is no longer a relay');
          else runProbe().then(scheduleProbe, (error: Error) => end(error.message));
        }, PROBE_INTERVAL_MS);
      };

      endCurrentWatch = () => end('stopped');
      PREFIXES.forEach((prefix) => {
        const stop = platform.watch(prefix, fromRevision, {
          onChanges: (revision, entries) => {
            state.applyChanges(advanceRevision(prefix, revision), entries);
            confirmProbes();
          },
          onProgress: (revision) => {
            state.applyChanges(advanceRevision(prefix, revision), []);
            confirmProbes();
          },
          onEnd: end,
        });
        stopWatches.push(stop);
      });
      scheduleProbe();
    });

  const followOnce = async (): Promise<void> => {
    const reason = await watchAll(await readAll());
    logger.info('platform.watchEnded', { reason });
    if (!isStopped) platform.reconnect();
  };

  const run = async (): Promise<void> => {
    while (!isStopped) {
      if (options.isNeeded()) {
        await followOnce().catch((error: Error) => {
          logger.warn('platform.unavailable', { message: error.message });
        });
        retryDelayMs = Math.min(retryDelayMs * 2, MAX_RETRY_DELAY_MS);
        await sleep(retryDelayMs * (0.5 + Math.random() / 2));
      } else await sleep(IDLE_DELAY_MS);
    }
  };

  return {
    start: (): void => {
      run();
    },
    /** Monotonic time at which the platform last confirmed the known revision. */
    confirmedAtMs: () => confirmedAtMs,
    /** Monotonic time of the platform's last reply. */
    reachedAtMs: () => reachedAtMs,
    stop: (): void => {
      isStopped = true;
      endCurrentWatch();
    },
  };
};

export default createPlatformFollower;

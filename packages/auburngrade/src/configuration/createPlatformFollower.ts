import type { ConfigurationState } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type Logger from '../log/logger';

const PREFIXES = ['/auburngrade/', '/platform/vms/'];
const RETRY_DELAY_MS = 300;

/** Keeps a configuration state up to date from the platform: a read, then a watch, again after each end. */
const createPlatformFollower = (
  platform: Platform,
  state: ConfigurationState,
  timeoutMs: number,
  logger: Logger,
) => {
  const stops = new Set<() => void>();
  let isStopped = false;
  let confirmedAtMs = Number.NEGATIVE_INFINITY;

  const confirm = (): void => {
    confirmedAtMs = performance.now();
  };

  const readAll = async (): Promise<number> => {
    const ranges = await Promise.all(PREFIXES.map((prefix) => platform.range(prefix, timeoutMs)));
    const revision = Math.min(...ranges.map((range) => range.revision));
    state.applySnapshot(
      revision,
      ranges.flatMap((range) => range.entries),
    );
    return revision;
  };

  const watchOnce = (prefix: string, fromRevision: number): Promise<string> =>
    new Promise((resolve) => {
      const stop = platform.watch(prefix, fromRevision, {
        onChanges: (revision, entries) => {
          state.applyChanges(revision, entries);
          confirm();
        },
        onProgress: confirm,
        onEnd: (reason) => {
          stops.delete(stop);
          resolve(reason);
        },
      });
      stops.add(stop);
    });

  const followOnce = async (): Promise<void> => {
    const revision = await readAll();
    confirm();
    const reason = await Promise.race(PREFIXES.map((prefix) => watchOnce(prefix, revision)));
    stops.forEach((stop) => stop());
    stops.clear();
    logger.warn('platform.watchEnded', { reason });
  };

  const run = async (): Promise<void> => {
    while (!isStopped) {
      await followOnce().catch((error: Error) => {
        logger.warn('platform.unavailable', { message: error.message });
      });
      await new Promise((resolve) => {
        setTimeout(resolve, RETRY_DELAY_MS);
      });
    }
  };

  return {
    start: (): void => {
      run().catch((error: Error) =>
        logger.error('platform.followerFailed', { message: error.message }),
      );
    },
    /** Monotonic time at which the platform last confirmed the known revision. */
    confirmedAtMs: () => confirmedAtMs,
    stop: (): void => {
      isStopped = true;
      stops.forEach((stop) => stop());
    },
  };
};

export default createPlatformFollower;

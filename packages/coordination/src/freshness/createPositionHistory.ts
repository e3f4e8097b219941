import comparePositions from '../position/comparePositions';
import type LogPosition from '../position/logPosition';

/** Samples taken sooner after the last one are dropped, which bounds the list. */
const MIN_SAMPLE_SPACING_MS = 50;
/** Longer than the maximum data age that routes allow. */
const SAMPLE_RETENTION_MS = 10_000;

/**
 * Creates a history of a primary's log positions, each with the time at which it was requested. A
 * log that contains such a position contains every commit acknowledged before that request.
 */
const createPositionHistory = () => {
  let samples: { askedAtMs: number; position: LogPosition }[] = [];

  return {
    record: (askedAtMs: number, position: LogPosition): void => {
      const last = samples.at(-1);
      if (last && askedAtMs - last.askedAtMs < MIN_SAMPLE_SPACING_MS) return;
      samples.push({ askedAtMs, position });
      const oldestAskedAtMs = askedAtMs - SAMPLE_RETENTION_MS;
      if ((samples[0]?.askedAtMs ?? oldestAskedAtMs) < oldestAskedAtMs) {
        samples = samples.filter((sample) => sample.askedAtMs >= oldestAskedAtMs);
      }
    },
    /** Returns the lowest known position that covers all commits acknowledged before `sinceMs`. */
    findMinFreshPosition: (sinceMs: number): LogPosition | undefined =>
      samples
        .filter(({ askedAtMs }) => askedAtMs >= sinceMs)
        .map(({ position }) => position)
        .reduce<LogPosition | undefined>(
          (least, position) => (least && comparePositions(least, position) <= 0 ? least : position),
          undefined,
        ),
    getLatestAskedAtMs: (): number | undefined => samples.at(-1)?.askedAtMs,
    clear: (): void => {
      samples = [];
    },
  };
};

export default createPositionHistory;

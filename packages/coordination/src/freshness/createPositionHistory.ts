import comparePositions from '../position/comparePositions';
import type LogPosition from '../position/logPosition';

/** Samples closer together than this add nothing, which bounds the list. */
const SAMPLE_SPACING_MS = 50;
/** Samples are kept for longer than the ages that routes allow. */
const KEPT_MS = 10_000;

/**
 * Positions of a primary by the time at which they were asked for. A log that holds such a position
 * holds every commit that was acknowledged before the question was sent.
 */
const createPositionHistory = () => {
  let samples: { askedAtMs: number; position: LogPosition }[] = [];

  return {
    record: (askedAtMs: number, position: LogPosition): void => {
      const last = samples.at(-1);
      if (last && askedAtMs - last.askedAtMs < SAMPLE_SPACING_MS) return;
      samples.push({ askedAtMs, position });
      const oldestMs = askedAtMs - KEPT_MS;
      if ((samples[0]?.askedAtMs ?? oldestMs) < oldestMs) {
        samples = samples.filter((sample) => sample.askedAtMs >= oldestMs);
      }
    },
    /** The least position that holds all commits acknowledged before a time. */
    leastFresh: (sinceMs: number): LogPosition | undefined =>
      samples
        .filter(({ askedAtMs }) => askedAtMs >= sinceMs)
        .map(({ position }) => position)
        .reduce<LogPosition | undefined>(
          (least, position) => (least && comparePositions(least, position) <= 0 ? least : position),
          undefined,
        ),
    latestAskedAtMs: (): number | undefined => samples.at(-1)?.askedAtMs,
    clear: (): void => {
      samples = [];
    },
  };
};

export default createPositionHistory;

/** An earlier return would find the endpoints unchanged. */
const MIN_DELAY_MS = 50;
/** The delay varies by as much in either direction. */
const JITTER_RATIO = 0.25;

interface RetryDelay {
  /** When there will be room, as far as is known. */
  dueInMs: number;
  /** Time limit of a statement. */
  maxDelayMs: number;
}

/**
 * Returns the delay after which a refused caller is asked to try again, in whole ms: between 50 ms and the
 * time limit of its statement.
 *
 * Load pattern: a crowd that is refused at the same time, and would return at the same time.
 */
const spreadRetryDelay = ({ dueInMs, maxDelayMs }: RetryDelay, random: () => number): number => {
  const ratio = random();
  const delayMs = dueInMs * (1 + JITTER_RATIO * (2 * ratio - 1));
  // A delay beyond the limit is spread over the last half of it.
  const boundedMs = delayMs <= maxDelayMs ? delayMs : maxDelayMs * (0.5 + ratio / 2);
  return Math.round(Math.max(MIN_DELAY_MS, boundedMs));
};

export default spreadRetryDelay;

/**
 * Every write that was acknowledged before `askedAtMs` lies within the log up to
 * `position` of `term`.
 */
interface Watermark {
  /** On this process's monotonic clock, in milliseconds. */
  askedAtMs: number;
  term: number;
  position: number;
}

export default Watermark;

/**
 * Lower bound of fresh data: every write acknowledged before `askedAtMs` is contained in the
 * log up to `position` of `term`.
 */
interface Watermark {
  /** Time of the status poll, on this process's monotonic clock. */
  askedAtMs: number;
  term: number;
  position: number;
}

export default Watermark;

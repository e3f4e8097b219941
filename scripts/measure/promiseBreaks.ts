/** Counts of broken promises; each must be 0. */
interface PromiseBreaks {
  staleSessionReads: number;
  lostWrites: number;
  doubledWrites: number;
  /** Refusals that said not run although the request had an effect. */
  untrueRefusals: number;
  /** Requests that ran beyond an account's rate and burst. */
  overRate: number;
  /** Requests without an answer, or with one that leaves the outcome open, while only planned stops ran. */
  cutByPlannedStop: number;
}

export default PromiseBreaks;

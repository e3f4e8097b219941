/** What one objective has used of its error budget. */
interface Burn {
  good: number;
  bad: number;
  /** Share of bad requests over the share that the objective allows; 1 uses the budget up exactly. */
  rate: number;
}

export default Burn;

import type Burn from './burn';

const PERCENT = 100;

/** Formats the part of the error budget that is left after a burn. */
const formatBudgetLeft = ({ rate }: Burn): string =>
  Number.isFinite(rate) ? `${Math.round((1 - rate) * PERCENT)}%` : 'none';

export default formatBudgetLeft;

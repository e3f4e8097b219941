import type Variant from './variant';

/** How long the baseline's primary must be silent or stalled before it is replaced. */
const BASELINE_FAILOVER_WAIT_MS = 3_000;

/**
 * The product, and a baseline by settings alone: reads only from primaries, equal parts of each
 * rate, one queue for all client accounts, failover after a fixed wait.
 */
const variants: { product: Variant; baseline: Variant } = {
  product: { name: 'auburngrade', freshness: { kind: 'session' }, vmSettings: {} },
  baseline: {
    name: 'baseline',
    freshness: { kind: 'primary' },
    vmSettings: {
      admission: { mode: 'equalParts' },
      pools: { order: 'firstComeFirstServed' },
      failover: {
        suspectAfterMs: BASELINE_FAILOVER_WAIT_MS,
        stallAfterMs: BASELINE_FAILOVER_WAIT_MS,
      },
    },
  },
};

export default variants;

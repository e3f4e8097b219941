/** Bounds of a fair queue. */
interface FairQueueLimits {
  perAccount: number;
  total: number;
}

export default FairQueueLimits;

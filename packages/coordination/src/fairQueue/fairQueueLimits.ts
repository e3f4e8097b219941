/** Maximum numbers of queued requests. */
interface FairQueueLimits {
  perAccount: number;
  total: number;
}

export default FairQueueLimits;

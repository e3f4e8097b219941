/** Latency and rate of one round of statements. */
interface LatencyStats {
  p50Ms: number;
  p99Ms: number;
  statementsPerS: number;
  errors: number;
}

export default LatencyStats;

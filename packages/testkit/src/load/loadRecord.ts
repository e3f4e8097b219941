/** One request of the load and what became of it. */
interface LoadRecord {
  /** Time since the load started. */
  atMs: number;
  latencyMs: number;
  account: string;
  vm: string;
  group: string;
  /** `session` writes a session's own item, `once` an item of its own, `count` adds one to a counter. */
  kind: 'read' | 'session' | 'once' | 'count';
  item: string;
  verdict: 'ran' | 'notRun' | 'mayHaveRun' | 'noAnswer';
  code: string;
  servedByRole: string;
  /** A read that missed what its session had been told was written. */
  isStale: boolean;
}

export default LoadRecord;

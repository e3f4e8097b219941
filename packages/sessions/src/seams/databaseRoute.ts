import type Freshness from './freshness';

/** Where the statements of one database go, and how they are served. */
interface DatabaseRoute {
  database: string;
  group: string;
  freshness: Freshness;
  /** Limit of one statement. */
  statementTimeoutMs: number;
  /** Latency objective of a whole operation. */
  targetLatencyMs: number;
  /** 0 is the highest. */
  priority: number;
  /** Callers need no key. */
  isPublic: boolean;
}

export default DatabaseRoute;

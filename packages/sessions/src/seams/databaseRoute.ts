import type Freshness from './freshness';

/** Routing and service objectives of one database. */
interface DatabaseRoute {
  database: string;
  group: string;
  freshness: Freshness;
  /** Time limit of one statement. */
  statementTimeoutMs: number;
  /** Latency objective of an operation, from its arrival to its result. */
  targetLatencyMs: number;
  /** Queue priority; 0 is the highest. */
  priority: number;
  /** Whether callers need no key. */
  isPublic: boolean;
}

export default DatabaseRoute;

import type SessionToken from '../session/sessionToken';

/** One admitted statement on its way to an endpoint. */
interface StatementRequest {
  requestId: string;
  /** The authenticated client account; undefined on a route open to all. */
  account: string | undefined;
  /** Hash of the key that was checked; undefined on a route open to all. */
  keyHash: string | undefined;
  profile: string;
  group: string;
  write: boolean;
  sql: string;
  parameters: (string | null)[];
  sessionToken: SessionToken;
  /** On this process's monotonic clock, in milliseconds. */
  deadlineAtMs: number;
}

export default StatementRequest;

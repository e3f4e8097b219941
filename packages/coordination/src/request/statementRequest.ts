import type SessionToken from '../session/sessionToken';

/** An admitted statement to be routed to an endpoint. */
interface StatementRequest {
  requestId: string;
  /** The authenticated client account; undefined on an unauthenticated route. */
  account: string | undefined;
  /** Hash of the verified key; undefined on an unauthenticated route. */
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

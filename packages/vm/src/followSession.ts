import type { FollowRequest } from './generated/auburngrade/vm/v1/vm';

/** One VM that follows this one's configuration. */
interface FollowSession {
  onRequest(request: FollowRequest): void;
  close(): void;
}

export default FollowSession;

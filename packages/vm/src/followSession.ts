import type { FollowRequest } from './generated/auburngrade/vm/v1/vm';

/** Session of one VM that follows this VM's configuration. */
interface FollowSession {
  onRequest(request: FollowRequest): void;
  close(): void;
}

export default FollowSession;

import { AccessMode } from '@auburngrade/caller';
import { createNotRunError } from '@auburngrade/coordination';
import type Settings from '../settings/settings';

interface CheckedRequest {
  accessMode: AccessMode;
  timeoutMs: number;
  requestId: string;
}

const REQUEST_ID_PATTERN = /^[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}$/;

/**
 * Checks the fields that statements and transactions have in common.
 * @throws RefusalError `badRequest` or `badDeadline`
 */
const checkRequest = (request: CheckedRequest, { requests }: Settings): void => {
  const { accessMode, timeoutMs, requestId } = request;
  if (accessMode !== AccessMode.READ && accessMode !== AccessMode.WRITE) {
    throw createNotRunError('badRequest', 'access_mode must be READ or WRITE');
  }
  if (timeoutMs < 1 || timeoutMs > requests.maxTimeoutMs) {
    throw createNotRunError(
      'badDeadline',
      `timeout_ms must be between 1 and ${requests.maxTimeoutMs}`,
    );
  }
  if (requestId !== '' && !REQUEST_ID_PATTERN.test(requestId)) {
    throw createNotRunError('badRequest', 'request_id must be a lower-case UUID');
  }
};

export default checkRequest;

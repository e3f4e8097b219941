import { Action } from '../generated/auburngrade/session/v1/session';
import type PendingStatement from './pendingStatement';

/** Whether only the primary can serve the statement. */
const isPrimaryOnly = ({ call }: PendingStatement): boolean =>
  call.maxAgeMs === undefined ||
  (call.action === Action.ACTION_WRITE && !call.isReadOnly) ||
  (call.opensTransaction && !call.isReadOnly);

export default isPrimaryOnly;

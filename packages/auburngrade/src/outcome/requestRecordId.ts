import type { StatementRequest } from '@auburngrade/coordination';

/** Row id of a request in `auburngrade_request`, scoped to its client account. */
const requestRecordId = ({
  account,
  requestId,
}: Pick<StatementRequest, 'account' | 'requestId'>): string => `${account ?? ''}/${requestId}`;

export default requestRecordId;

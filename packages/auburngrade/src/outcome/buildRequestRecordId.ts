import type { StatementRequest } from '@auburngrade/coordination';

/** Row id of a request in `auburngrade_request`, scoped to its client account. */
const buildRequestRecordId = ({
  account,
  requestId,
}: Pick<StatementRequest, 'account' | 'requestId'>): string => `${account ?? ''}/${requestId}`;

export default buildRequestRecordId;

import type { StatementRequest } from '@auburngrade/coordination';

/** The id under which a request's effect is recorded: ids of one client account are its own. */
const requestRecordId = ({
  account,
  requestId,
}: Pick<StatementRequest, 'account' | 'requestId'>): string => `${account ?? ''}/${requestId}`;

export default requestRecordId;

import type { RequestRecord, StatementRequest } from '@auburngrade/coordination';
import quoteLiteral from './quoteLiteral';
import requestFingerprint from './requestFingerprint';
import requestRecordId from './requestRecordId';

/** Inserts the row of a request's id; fails when the id has one. */
const insertRequestSql = (request: StatementRequest, state: RequestRecord['state']): string => {
  const values = [requestRecordId(request), state, requestFingerprint(request)].map(quoteLiteral);
  return `INSERT INTO auburngrade_request (id, state, fingerprint) VALUES (${values.join(', ')})`;
};

export default insertRequestSql;

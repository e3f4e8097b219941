import type { RequestRow, StatementRequest } from '@auburngrade/coordination';
import quoteLiteral from './quoteLiteral';
import computeRequestFingerprint from './computeRequestFingerprint';
import buildRequestRecordId from './buildRequestRecordId';

/** SQL that inserts the row of a request id; it fails with a unique violation if one exists. */
const buildInsertRequestSql = (request: StatementRequest, state: RequestRow['state']): string => {
  const values = [buildRequestRecordId(request), state, computeRequestFingerprint(request)].map(
    quoteLiteral,
  );
  return `INSERT INTO auburngrade_request (id, state, fingerprint) VALUES (${values.join(', ')})`;
};

export default buildInsertRequestSql;

import { createHash } from 'node:crypto';
import type { StatementRequest } from '@auburngrade/coordination';

/** SHA-256 of statement and parameters; tells a repeated request from a reused request id. */
const computeRequestFingerprint = ({
  sql,
  parameters,
}: Pick<StatementRequest, 'sql' | 'parameters'>): string =>
  createHash('sha256')
    .update(JSON.stringify([sql, parameters]))
    .digest('base64url');

export default computeRequestFingerprint;

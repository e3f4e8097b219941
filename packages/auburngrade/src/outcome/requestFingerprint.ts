import { createHash } from 'node:crypto';
import type { StatementRequest } from '@auburngrade/coordination';

/** Tells whether a repeated request id names the same statement with the same parameters. */
const requestFingerprint = ({
  sql,
  parameters,
}: Pick<StatementRequest, 'sql' | 'parameters'>): string =>
  createHash('sha256')
    .update(JSON.stringify([sql, parameters]))
    .digest('base64url');

export default requestFingerprint;

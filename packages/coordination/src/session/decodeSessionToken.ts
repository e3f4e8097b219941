import notRun from '../verdict/notRun';
import type SessionToken from './sessionToken';
import sessionTokenSchema from './sessionTokenSchema';

const MAX_TOKEN_CHARS = 8192;

const parse = (encoded: string): unknown => {
  try {
    return JSON.parse(Buffer.from(encoded, 'base64url').toString('utf8'));
  } catch {
    return undefined;
  }
};

/**
 * Reads the opaque token of a caller; an empty one starts a session.
 * @throws RefusalError `badSessionToken` when it is malformed.
 */
const decodeSessionToken = (encoded: string): SessionToken => {
  if (encoded === '') return {};
  if (encoded.length > MAX_TOKEN_CHARS) throw notRun('badSessionToken', 'session token too long');
  const parsed = sessionTokenSchema.safeParse(parse(encoded));
  if (!parsed.success) throw notRun('badSessionToken', 'session token is malformed');
  return parsed.data;
};

export default decodeSessionToken;

import createNotRunError from '../verdict/createNotRunError';
import type SessionToken from './sessionToken';
import sessionTokenSchema from './sessionTokenSchema';

const MAX_TOKEN_LENGTH_CHARS = 8192;

const parseToken = (encoded: string): unknown => {
  try {
    return JSON.parse(Buffer.from(encoded, 'base64url').toString('utf8'));
  } catch {
    return undefined;
  }
};

/**
 * Decodes the opaque session token that a caller sent; an empty string is a new session.
 * @throws RefusalError `badSessionToken` if it is too long or malformed.
 */
const decodeSessionToken = (encoded: string): SessionToken => {
  if (encoded === '') return {};
  if (encoded.length > MAX_TOKEN_LENGTH_CHARS)
    throw createNotRunError('badSessionToken', 'session token exceeds 8192 characters');
  const parsed = sessionTokenSchema.safeParse(parseToken(encoded));
  if (!parsed.success)
    throw createNotRunError(
      'badSessionToken',
      'session token is malformed: not base64url of the expected JSON',
    );
  return parsed.data;
};

export default decodeSessionToken;

import type SessionToken from './sessionToken';

/** Writes a session's token in the opaque form that callers carry. */
const encodeSessionToken = (token: SessionToken): string =>
  Object.keys(token).length === 0
    ? ''
    : Buffer.from(JSON.stringify(token), 'utf8').toString('base64url');

export default encodeSessionToken;

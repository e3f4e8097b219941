import type SessionToken from './sessionToken';

/** Encodes a session token in its opaque form: base64url of JSON, or an empty string if empty. */
const encodeSessionToken = (token: SessionToken): string =>
  Object.keys(token).length === 0
    ? ''
    : Buffer.from(JSON.stringify(token), 'utf8').toString('base64url');

export default encodeSessionToken;

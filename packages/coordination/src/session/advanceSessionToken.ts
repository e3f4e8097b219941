import type SessionToken from './sessionToken';

/** Returns the token with a group's entry set to a position, unchanged if it is not newer. */
const advanceSessionToken = (
  token: SessionToken,
  group: string,
  term: number,
  position: number,
): SessionToken => {
  const current = token[group];
  const isOlder =
    current !== undefined &&
    (current.term > term || (current.term === term && current.position >= position));
  return isOlder ? token : { ...token, [group]: { term, position } };
};

export default advanceSessionToken;

import type SessionToken from './sessionToken';

/** Raises one group's entry of the token; an older position never lowers it. */
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

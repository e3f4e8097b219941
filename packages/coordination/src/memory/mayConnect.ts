interface ConnectionInput {
  maxConnections: number;
  /** Connections that are open, without the new one. */
  count: number;
  /** Of these, connections of the new one's client account or address. */
  ownCount: number;
  /** Accounts or addresses with a connection, the new one's included. */
  partyCount: number;
}

/** From here on, connections are short, and each party gets its share. */
const SHORT_RATIO = 0.75;
/** A single party gets no more, so that another one that comes then still finds room. */
const MAX_PARTY_RATIO = 0.9;

/** Decides whether a caller's new connection, or its new session, is within the bound and its party's share. */
const mayConnect = ({
  maxConnections,
  count,
  ownCount,
  partyCount,
}: ConnectionInput): 'yes' | 'full' | 'overShare' => {
  if (count >= maxConnections) return 'full';
  if (count < SHORT_RATIO * maxConnections) return 'yes';
  const share = Math.min(MAX_PARTY_RATIO, 1 / partyCount) * maxConnections;
  return ownCount < Math.max(1, share) ? 'yes' : 'overShare';
};

export default mayConnect;

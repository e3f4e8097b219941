interface ConnectionInput {
  maxConnections: number;
  /** Connections that are open, without the new one. */
  count: number;
  /** Of these, connections of the new one's client account or address. */
  ownCount: number;
  /** Accounts or addresses with a connection, the new one's included. */
  partyCount: number;
}

/** The rest is for parties that have less than an equal part, so that one party alone never takes up all. */
const COMMON_RATIO = 0.9;

/** Decides whether a caller's new connection, or its new session, is within the bound and its party's share. */
const mayConnect = ({
  maxConnections,
  count,
  ownCount,
  partyCount,
}: ConnectionInput): 'yes' | 'full' | 'overShare' => {
  if (count >= maxConnections) return 'full';
  if (count < COMMON_RATIO * maxConnections) return 'yes';
  return ownCount < maxConnections / Math.max(2, partyCount) ? 'yes' : 'overShare';
};

export default mayConnect;

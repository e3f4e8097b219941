import type MemberConnection from '../seams/memberConnection';

/** A member connection of the pool, with what it carries of the session that used it last. */
interface PooledMember {
  connection: MemberConnection;
  account: string;
  /** The session values that are set on it. */
  values: ReadonlyMap<string, string>;
  /** A canonical form of the values; empty when there are none. */
  valuesKey: string;
  /** Names under which statements are prepared on it, by mode and shape. */
  prepared: Map<string, string>;
  lastUsedAtMs: number;
  isEnded: boolean;
}

export default PooledMember;

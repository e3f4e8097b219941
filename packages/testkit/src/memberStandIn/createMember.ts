import createMemberLog from './createMemberLog';
import createReplication from './createReplication';
import createRowLocks from './createRowLocks';
import type MemberSettings from './memberSettings';
import SqlError from './sqlError';

const STALE_TERM_STATE = 'AG001';
const READ_ONLY_STATE = '25006';

/** The state of one stand-in member: role, terms, log, replication and row locks. */
const createMember = (settings: MemberSettings) => {
  const log = createMemberLog();
  const locks = createRowLocks();
  const tuning = {
    replicationLagMs: settings.replicationLagMs,
    statementDelayMs: settings.statementDelayMs,
  };
  const replication = createReplication(log, () => tuning.replicationLagMs);
  let role: 'primary' | 'replica' = settings.upstream ? 'replica' : 'primary';
  let fencedTerm = settings.term;
  let primaryTerm = settings.upstream ? 0 : settings.term;

  replication.listen(settings.replicationPort, settings.host);
  if (settings.upstream) replication.follow(settings.upstream.host, settings.upstream.port);

  /** A primary that becomes a replica restarts, which ends the transactions of its sessions. */
  const demote = (): void => {
    if (role === 'primary') locks.clear();
    role = 'replica';
  };

  return {
    log,
    locks,
    tuning,
    status: () => ({ role, fencedTerm, logTerm: log.logTerm(), position: log.position() }),
    primaryTerm: () => primaryTerm,
    /** Refuses statements that carry a term older than the fence. */
    checkTerm: (term: number | undefined): void => {
      if (term !== undefined && term < fencedTerm) {
        throw new SqlError(STALE_TERM_STATE, `term ${term} is older than ${fencedTerm}`);
      }
    },
    checkWritable: (): void => {
      if (role !== 'primary' || fencedTerm > primaryTerm) {
        throw new SqlError(READ_ONLY_STATE, 'this member takes no writes');
      }
    },
    /** Promises to refuse lower terms; stops writing and following at an older one. */
    fence: (term: number): void => {
      if (term < fencedTerm)
        throw new SqlError(STALE_TERM_STATE, `already fenced at ${fencedTerm}`);
      if (term === fencedTerm) return;
      fencedTerm = term;
      demote();
      replication.stop();
    },
    promote: (term: number): void => {
      if (term !== fencedTerm) throw new SqlError(STALE_TERM_STATE, `fenced at ${fencedTerm}`);
      role = 'primary';
      primaryTerm = term;
      replication.stop();
    },
    follow: (term: number, host: string, port: number): void => {
      if (term < fencedTerm) throw new SqlError(STALE_TERM_STATE, `fenced at ${fencedTerm}`);
      fencedTerm = term;
      demote();
      replication.follow(host, port);
    },
  };
};

export default createMember;

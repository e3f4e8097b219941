import type TermRecord from '../configuration/termRecord';
import type MemberView from '../promotion/memberView';
import isGroupSettled from './isGroupSettled';

interface PollingState {
  record: TermRecord | undefined;
  /** Members by the group's document that may vote. */
  activeMembers: readonly string[];
  views: readonly MemberView[];
  /** When this VM last served a request of the group; times are on its own clock. */
  usedAtMs: number;
  nowMs: number;
}

const BUSY_INTERVAL_MS = 500;
/** A group stays busy for so long after a request. */
const BUSY_AFTER_USE_MS = 5_000;
const IDLE_PRIMARY_INTERVAL_MS = 8_000;
const IDLE_REPLICA_INTERVAL_MS = 60_000;

/**
 * The members whose status has to be polled now. A group that serves requests or in which
 * something is under way is polled often; else its primary seldom, so that its loss is
 * noticed, and its replicas more seldom. A poll without an answer is repeated.
 */
const membersToPoll = (state: PollingState): string[] => {
  const { record, activeMembers, views, usedAtMs, nowMs } = state;
  const isBusy =
    nowMs - usedAtMs < BUSY_AFTER_USE_MS || !isGroupSettled(record, activeMembers, views);
  const intervalMsOf = (member: string): number => {
    if (isBusy) return BUSY_INTERVAL_MS;
    return member === record?.primary ? IDLE_PRIMARY_INTERVAL_MS : IDLE_REPLICA_INTERVAL_MS;
  };
  return views
    .filter(({ member, status, unansweredSinceMs }) => {
      if (!status || unansweredSinceMs !== undefined) return true;
      return nowMs - status.askedAtMs >= intervalMsOf(member);
    })
    .map(({ member }) => member);
};

export default membersToPoll;

import type TermRecord from '../configuration/termRecord';
import type MemberView from '../promotion/memberView';
import isGroupSettled from './isGroupSettled';

interface PollingState {
  record: TermRecord | undefined;
  /** Names of the members whose state in the group's document is `active`. */
  activeMembers: readonly string[];
  views: readonly MemberView[];
  /** When this VM last served a request of the group, on the same clock as `nowMs`. */
  lastRequestAtMs: number;
  nowMs: number;
}

const BUSY_POLL_INTERVAL_MS = 500;
/** How long after its last request a group counts as busy. */
const BUSY_AFTER_REQUEST_MS = 5_000;
const IDLE_PRIMARY_POLL_INTERVAL_MS = 8_000;
const IDLE_REPLICA_POLL_INTERVAL_MS = 60_000;

/**
 * Returns the members whose status has to be polled now. A group that serves requests or is
 * not settled is polled often. In an idle group the primary is polled rarely, to detect its
 * loss, and the replicas even less. A member that has not answered is polled again at once.
 */
const listMembersToPoll = (state: PollingState): string[] => {
  const { record, activeMembers, views, lastRequestAtMs, nowMs } = state;
  const isBusy =
    nowMs - lastRequestAtMs < BUSY_AFTER_REQUEST_MS ||
    !isGroupSettled(record, activeMembers, views);
  const getPollIntervalMs = (member: string): number => {
    if (isBusy) return BUSY_POLL_INTERVAL_MS;
    return member === record?.primary
      ? IDLE_PRIMARY_POLL_INTERVAL_MS
      : IDLE_REPLICA_POLL_INTERVAL_MS;
  };
  return views
    .filter(({ member, status, unansweredSinceMs }) => {
      if (!status || unansweredSinceMs !== undefined) return true;
      return nowMs - status.askedAtMs >= getPollIntervalMs(member);
    })
    .map(({ member }) => member);
};

export default listMembersToPoll;

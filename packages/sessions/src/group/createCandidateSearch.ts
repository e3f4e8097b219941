import {
  chooseSynchronousCandidate,
  comparePositions,
  type LogPosition,
} from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type EndpointStatus from '../seams/memberStatus';
import type MemberPool from './memberPool';

/** While a replacement waits for endpoints, this often a line says for which. */
const WAITING_LOG_INTERVAL_MS = 5_000;

interface CandidateSearchOptions<Reply> {
  group: string;
  pools: ReadonlyMap<string, MemberPool>;
  log: EventLog;
  nowMs(): number;
  /** How many replicas receive a commit before it is acknowledged. */
  syncReplicas(): number;
  /** Endpoints whose entries are gone, and whose logs no other endpoint has taken over. */
  departedEndpoints(): readonly string[];
  probe(ids: readonly string[]): Promise<Reply[]>;
  /** A position of the primary's log beyond which nothing was acknowledged, if it is known. */
  acknowledgedUpTo(): LogPosition | undefined;
}

/** Finds the replica to promote, by what the endpoints of the group answer. */
const createCandidateSearch = <Reply extends { id: string; status: EndpointStatus }>(
  options: CandidateSearchOptions<Reply>,
) => {
  const { group, pools, log, nowMs } = options;
  let lastWaiting: { key: string; loggedAtMs: number } | undefined;

  const isCandidate = (id: string): boolean => pools.get(id)?.use().isCandidate ?? true;
  const isInService = (id: string): boolean =>
    (pools.get(id)?.phase() ?? 'inService') === 'inService';
  const idsWithout = (excludedId: string | undefined): string[] =>
    [...pools.keys()].filter((id) => id !== excludedId);
  const findLongestLog = (replies: readonly Reply[]): Reply | undefined =>
    [...replies].sort((a, b) =>
      comparePositions(b.status.receivedPosition, a.status.receivedPosition),
    )[0];

  const logWaiting = (primary: string | undefined, fields: Record<string, unknown>): void => {
    const key = JSON.stringify([primary, fields.waitingFor]);
    const isRepeated =
      lastWaiting?.key === key && nowMs() - lastWaiting.loggedAtMs < WAITING_LOG_INTERVAL_MS;
    if (isRepeated) return;
    lastWaiting = { key, loggedAtMs: nowMs() };
    log.warn('primary.waitingForReplica', { group, endpoint: primary, ...fields });
  };

  /** The replica with the longest log of those that stay; where commits do not wait for replicas. */
  const findMostCurrent = async (excludedId: string | undefined): Promise<Reply | undefined> => {
    const ids = idsWithout(excludedId).filter((id) => !pools.get(id)?.isDown() && isCandidate(id));
    return findLongestLog(await options.probe(ids));
  };

  /** A replica that has all acknowledged commits of a primary that is lost. */
  const findForLost = async (
    lostId: string | undefined,
    recordedPrimary: string,
  ): Promise<Reply | undefined> => {
    const acknowledgedUpTo = options.acknowledgedUpTo();
    const ids = idsWithout(lostId);
    const replies = await options.probe(ids);
    const answered = new Set(replies.map(({ id }) => id));
    const holders = new Set([lostId ?? recordedPrimary, ...ids, ...options.departedEndpoints()]);
    const unanswered = [...holders].filter((id) => !answered.has(id));
    const chosen = chooseSynchronousCandidate({
      answered: replies.map(({ id, status: { receivedPosition } }) => ({
        id,
        receivedPosition,
        isLeaving: !isCandidate(id),
      })),
      unanswered,
      syncReplicas: options.syncReplicas(),
      acknowledgedUpTo,
    });
    const chosenReply = replies.find(({ id }) => id === chosen);
    // One that is being evacuated tells how long the log is, but does not lead.
    const eligible =
      chosenReply &&
      [chosenReply, ...replies].find(
        ({ id, status }) =>
          isInService(id) &&
          comparePositions(status.receivedPosition, chosenReply.status.receivedPosition) >= 0,
      );
    if (!eligible) {
      const best = findLongestLog(replies);
      logWaiting(lostId, {
        waitingFor: unanswered,
        best: best?.id,
        bestPosition: best?.status.receivedPosition,
        acknowledgedUpTo,
      });
    }
    return eligible;
  };

  /** A replica that stays and has all that the present primary acknowledged up to now. */
  const findForLeaving = async (leavingId: string): Promise<Reply | undefined> => {
    const ids = idsWithout(leavingId).filter(isCandidate);
    // The primary's answer tells its position, also where no statements do.
    const [, replies] = await Promise.all([options.probe([leavingId]), options.probe(ids)]);
    const acknowledgedUpTo = options.acknowledgedUpTo();
    const complete = replies.filter(
      ({ status }) =>
        acknowledgedUpTo && comparePositions(status.receivedPosition, acknowledgedUpTo) >= 0,
    );
    return findLongestLog(complete);
  };

  return {
    findMostCurrent,
    findForLost,
    findForLeaving,
    /** Tells that a leaving primary is kept until a replica that stays has received all of its commits. */
    logCatchUp: (leavingId: string): void =>
      logWaiting(leavingId, {
        waitingFor: idsWithout(leavingId).filter(isCandidate),
        acknowledgedUpTo: options.acknowledgedUpTo(),
      }),
  };
};

export default createCandidateSearch;

import comparePositions from '../position/comparePositions';
import type LogPosition from '../position/logPosition';

interface ReplicaStatus {
  id: string;
  receivedPosition: LogPosition;
  isLeaving: boolean;
}

interface ReplicaStatuses {
  answered: readonly ReplicaStatus[];
  /** Endpoints that may hold commits and did not answer, the lost primary included. */
  unanswered: readonly string[];
  /** How many replicas receive a commit before it is acknowledged; at least 1. */
  syncReplicas: number;
  /** No acknowledged commit lies beyond this position; undefined if none is known. */
  acknowledgedUpTo: LogPosition | undefined;
}

/** The endpoint with the longest log, rather one that stays. */
const findBest = (replicas: readonly ReplicaStatus[]): ReplicaStatus | undefined =>
  [...replicas].sort(
    (a, b) =>
      comparePositions(b.receivedPosition, a.receivedPosition) ||
      Number(a.isLeaving) - Number(b.isLeaving),
  )[0];

/**
 * Chooses the replica to promote where commits are acknowledged by replicas; undefined while that could lose one. A
 * commit is on the primary and on `syncReplicas` others. So one of those that answered has it if no more than
 * `syncReplicas` did not answer; else only a replica is safe that has received all that was acknowledged.
 */
const chooseSynchronousCandidate = (statuses: ReplicaStatuses): string | undefined => {
  const { answered, unanswered, syncReplicas, acknowledgedUpTo } = statuses;
  const complete = acknowledgedUpTo
    ? answered.filter(
        ({ receivedPosition }) => comparePositions(receivedPosition, acknowledgedUpTo) >= 0,
      )
    : [];
  const staying = complete.filter(({ isLeaving }) => !isLeaving);
  const safe = [staying, complete].find((replicas) => replicas.length > 0);
  if (safe) return findBest(safe)?.id;
  return unanswered.length <= syncReplicas ? findBest(answered)?.id : undefined;
};

export default chooseSynchronousCandidate;

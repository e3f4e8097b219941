interface QueuedStatementState {
  /** Only the primary can serve the statement. */
  needsPrimary: boolean;
  /** Whether nothing may be sent to the primary, or to the one that was last recorded if none is known. */
  isPrimaryEvacuated: boolean;
  /** Whether an endpoint that is up may be chosen as the next primary. */
  hasCandidate: boolean;
  /** Whether the last attempt to replace the evacuated primary failed or waits for a replica. */
  isReplacementBlocked: boolean;
  /** Whether a replica that may be used is up, and the position that the read must see is known. */
  canReadAtReplica: boolean;
}

/**
 * Decides whether a queued statement waits for an endpoint or is refused at once. It waits for a replacement of an
 * evacuated primary that is under way; where nothing can replace the primary, waiting would use up its time in vain.
 *
 * Load pattern: all statements of a group whose only primary is evacuated.
 */
const decideQueuedStatement = (state: QueuedStatementState): 'wait' | 'refuse' => {
  if (!state.isPrimaryEvacuated) return 'wait';
  if (state.hasCandidate && !state.isReplacementBlocked) return 'wait';
  return !state.needsPrimary && state.canReadAtReplica ? 'wait' : 'refuse';
};

export default decideQueuedStatement;

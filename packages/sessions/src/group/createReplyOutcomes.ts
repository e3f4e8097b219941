import { Action } from '../generated/auburngrade/session/v1/session';
import type EventLog from '../seams/eventLog';
import type MemberReply from '../seams/memberReply';
import type CallOutcome from './callOutcome';
import createRefusal from './createRefusal';
import memberFailureVerdicts from './memberFailureVerdicts';
import type MemberPool from './memberPool';
import type PendingStatement from './pendingStatement';
import type PrimaryManager from './primaryManager';

interface ReplyOutcomesOptions {
  group: string;
  primaryManager: PrimaryManager;
  log: EventLog;
  isDraining(): boolean;
  /** False while another VM may have replaced the primary without this VM knowing. */
  isAuthoritative(): boolean;
  /** Whether commits under way may still be acknowledged after the handover that ended the tenure. */
  isInHandoverGrace(tenure: string | undefined): boolean;
}

/** Maps replies of endpoints to the outcomes of statements. */
const createReplyOutcomes = (options: ReplyOutcomesOptions) => {
  const { group, primaryManager, log } = options;

  /**
   * Acknowledges a write or commit only if it ran at the primary, and while no other VM can have replaced that.
   * A former primary still commits until it learns of its successor.
   */
  const toCallOutcome = (
    { call }: PendingStatement,
    reply: MemberReply,
    endpointId: string,
  ): CallOutcome => {
    const isChange = call.action !== Action.ACTION_READ && !call.isReadOnly;
    const primary = primaryManager.getKnownPrimary();
    if (isChange && primary !== undefined && endpointId !== primary) {
      const { requestId: request } = call;
      log.warn('request.ranAtFormerPrimary', { request, group, endpoint: endpointId, primary });
    }
    const isAuthoritative = options.isDraining()
      ? options.isInHandoverGrace(primaryManager.primaryTenure())
      : options.isAuthoritative();
    return isChange && (endpointId !== primary || !isAuthoritative)
      ? createRefusal(
          'inDoubt',
          'outcome unknown: the primary may have been replaced while the statement ran',
        )
      : {
          kind: 'complete',
          rows: reply.rows,
          signature: reply.signature ?? '',
          position: reply.position,
        };
  };

  /** Excludes an endpoint from retries; never the primary, since some statements run only there. */
  const excludeEndpoint = (statement: PendingStatement, pool: MemberPool): void => {
    const { id } = pool.endpoint();
    if (id !== primaryManager.getKnownPrimary()) statement.excludedEndpointIds.add(id);
  };

  /** Maps a failure reply to an outcome; returns undefined when the statement may be retried. */
  const handleFailure = (
    statement: PendingStatement,
    pool: MemberPool,
    reply: MemberReply,
  ): CallOutcome | undefined => {
    const { kind, message } = reply.failure as NonNullable<MemberReply['failure']>;
    const { call } = statement;
    const isRead = call.action === Action.ACTION_READ;
    if (memberFailureVerdicts[kind] === 'notRun') {
      if (kind === 'busy') pool.pauseAfterBusy();
      else if (kind === 'readOnly') primaryManager.invalidatePrimary(pool.endpoint().id);
      else if (kind !== 'noStatement') excludeEndpoint(statement, pool);
      return undefined;
    }
    if (!isRead) return createRefusal('inDoubt', message);
    if (kind === 'timedOut') return createRefusal('timedOut', message);
    if (call.transaction !== 0) return createRefusal('failed', message);
    excludeEndpoint(statement, pool);
    return undefined;
  };

  return { toCallOutcome, excludeEndpoint, handleFailure };
};

export default createReplyOutcomes;

import type EventLog from '../seams/eventLog';
import type CallOutcome from './callOutcome';
import type PendingStatement from './pendingStatement';

interface OutcomeContext {
  group: string;
  log: EventLog;
  nowMs: number;
  /** The primary for new statements, if there is one. */
  primary: string | undefined;
  /** How many statements wait for a slot. */
  waiting: number;
  /** Forecast time until all that waits has started. */
  forecastWaitMs(): number;
}

/** Logs a statement that is refused, or that completes after its target. */
const logOutcome = (
  statement: PendingStatement,
  outcome: CallOutcome,
  { group, log, nowMs, primary, waiting, forecastWaitMs }: OutcomeContext,
): void => {
  if (outcome.kind === 'refused') {
    log.info('request.refused', {
      request: statement.call.requestId,
      group,
      code: outcome.code,
      reason: outcome.message,
      waitedMs: Math.round(nowMs - statement.arrivedAtMs),
      attempts: statement.attempts,
      primary,
      waiting,
      forecastWaitMs: Math.round(forecastWaitMs()),
    });
  } else if (outcome.kind === 'complete' && nowMs > statement.targetAtMs) {
    log.info('request.late', {
      request: statement.call.requestId,
      group,
      signature: outcome.signature,
      waitedMs: Math.round(nowMs - statement.arrivedAtMs),
      beforeMs: statement.call.waitedMs,
      targetMs: statement.call.targetLatencyMs,
      attempts: statement.attempts,
      waiting,
    });
  }
};

export default logOutcome;

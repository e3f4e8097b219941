import {
  ARRIVAL_STEP_MS,
  createReturnLine,
  createServiceTimes,
  createStartForecast,
  spreadRetryDelay,
  type StatementFlow,
} from '@auburngrade/coordination';
import isPrimaryOnly from './isPrimaryOnly';
import type PendingStatement from './pendingStatement';

/** When refused callers are asked to return while nothing is known of the next starts. */
const UNKNOWN_RETRY_MS = 300;
/** Minimum time between two reviews of the statements that wait. */
const REVIEW_INTERVAL_MS = 250;

interface UsableEndpoint {
  id: string;
  /** Statements in progress there while others wait. */
  concurrency: number;
}

interface StatementAdmissionOptions {
  nowMs(): number;
  /** Random number in [0, 1). */
  random(): number;
  /** Endpoints that run primary-only statements, or reads, now or soon; none while this is unsure. */
  findUsableEndpoints(isPrimaryOnlyClass: boolean): readonly UsableEndpoint[];
}

/**
 * Forecasts for a group's statements, primary-only ones and reads apart, whether they can start before
 * their queue deadline. Statements of open transactions and those that are tried again are left out.
 * All that it has learned is lost when the group changes its owner; until it has learned again, it
 * refuses nothing.
 */
const createStatementAdmission = ({
  nowMs,
  random,
  findUsableEndpoints,
}: StatementAdmissionOptions) => {
  const createClass = (isPrimaryOnlyClass: boolean) => {
    const serviceTimes = createServiceTimes();
    return {
      serviceTimes,
      forecast: createStartForecast(),
      returnLine: createReturnLine(),
      /** Queued statements of the class that the forecast counts. */
      counted: new Map<PendingStatement, StatementFlow>(),
      findStartIntervalMs: () =>
        serviceTimes.findStartIntervalMs(findUsableEndpoints(isPrimaryOnlyClass), nowMs()),
    };
  };
  const primaryOnly = createClass(true);
  const reads = createClass(false);
  let lastReviewAtMs = nowMs();

  const classOf = (statement: PendingStatement) => (isPrimaryOnly(statement) ? primaryOnly : reads);

  const canStart = (statement: PendingStatement): boolean => {
    const { forecast, findStartIntervalMs } = classOf(statement);
    if (statement.isInTransaction || forecast.total() === 0) return true;
    const startIntervalMs = findStartIntervalMs();
    if (startIntervalMs === undefined) return true;
    return forecast.find(statement, { startIntervalMs, nowMs: nowMs(), isArriving: true }).canStart;
  };

  const findHopeless = ({ forecast, counted, findStartIntervalMs }: typeof reads) => {
    const startIntervalMs = counted.size === 0 ? undefined : findStartIntervalMs();
    if (startIntervalMs === undefined) return [];
    const state = { startIntervalMs, nowMs: nowMs(), isArriving: false };
    let last: { flow: StatementFlow; step: number; canStart: boolean } | undefined;
    // The insertion order is that of the arrival, so those behind a hopeless one are forecast without it.
    return [...counted]
      .filter(([statement, flow]) => {
        const step = Math.floor(statement.arrivedAtMs / ARRIVAL_STEP_MS);
        // Equal statements that arrived in one step have the same ones ahead.
        if (last?.flow !== flow || last.step !== step)
          last = { flow, step, canStart: forecast.find(statement, state).canStart };
        if (last.canStart) return false;
        counted.delete(statement);
        forecast.remove(flow, statement.arrivedAtMs);
        return true;
      })
      .map(([statement]) => statement);
  };

  return {
    noteServed: (statement: PendingStatement, endpointId: string, tookMs: number): void =>
      classOf(statement).serviceTimes.note(endpointId, tookMs, nowMs()),
    /** Call when an endpoint has become the primary: it served other statements before. */
    forgetServiceTimes: (endpointId: string): void =>
      [primaryOnly, reads].forEach(({ serviceTimes }) => serviceTimes.forget(endpointId)),
    noteQueued: (statement: PendingStatement): void => {
      if (statement.isInTransaction || statement.attempts > 0) return;
      const { forecast, counted } = classOf(statement);
      counted.set(statement, forecast.add(statement));
    },
    noteDequeued: (statement: PendingStatement): void => {
      const { forecast, counted } = classOf(statement);
      const flow = counted.get(statement);
      if (!flow) return;
      counted.delete(statement);
      forecast.remove(flow, statement.arrivedAtMs);
    },
    /** Whether an arriving statement may wait, as far as is known. */
    admit: (statement: PendingStatement): boolean => {
      const isAdmitted = canStart(statement);
      if (isAdmitted) classOf(statement).forecast.noteArrival(statement);
      return isAdmitted;
    },
    /** Waiting statements that cannot start any more, at most once in each interval; they are to be refused. */
    findHopeless: (): PendingStatement[] => {
      if (nowMs() - lastReviewAtMs < REVIEW_INTERVAL_MS) return [];
      lastReviewAtMs = nowMs();
      return [primaryOnly, reads].flatMap(findHopeless);
    },
    /** When the caller of a refused statement should try again, in ms. */
    findRetryDelayMs: (statement: PendingStatement): number => {
      const { returnLine, findStartIntervalMs } = classOf(statement);
      const { call, priority } = statement;
      const startIntervalMs = findStartIntervalMs();
      const dueInMs =
        startIntervalMs === undefined
          ? UNKNOWN_RETRY_MS
          : returnLine.enter(priority, startIntervalMs, nowMs());
      // The caller's operation may have time for another statement when this one has none left.
      return spreadRetryDelay({ dueInMs, maxDelayMs: call.statementTimeoutMs }, random);
    },
    /** Forecast time until all that waits has started, in ms; 0 while nothing waits or it is unsure. */
    forecastWaitMs: (): number =>
      Math.max(
        ...[primaryOnly, reads].map(({ forecast, findStartIntervalMs }) =>
          forecast.total() === 0 ? 0 : forecast.total() * (findStartIntervalMs() ?? 0),
        ),
      ),
  };
};

export default createStatementAdmission;

import type QueuedStatement from '../placement/queuedStatement';
import ARRIVAL_STEP_MS from './arrivalStepMs';
import createArrivalCounts from './createArrivalCounts';
import createSustainedRate from './createSustainedRate';
import findBacklogEndMs from './findBacklogEndMs';

/** Share of the learned interval and rate that is assumed: a forecast that is off refuses too little. */
const OPTIMISM_RATIO = 0.7;
/** Share of the starts that late statements are at least assumed to get, whatever goes on arriving. */
const MIN_LATE_RATIO = 0.1;
/** With less time left before its target, a statement counts as late, and runs after all that is not. */
const LATE_BEFORE_TARGET_MS = 50;

interface WaitingStatement extends QueuedStatement {
  /** Time at which it is refused when still queued. */
  queueDeadlineMs: number;
}

interface ForecastState {
  /** Average time between two starts while statements wait. */
  startIntervalMs: number;
  nowMs: number;
  /** Whether the statement is not queued yet. */
  isArriving: boolean;
}

interface StartForecast {
  canStart: boolean;
  /** Earliest time until its start, or until it would be refused. */
  startsInMs: number;
}

interface Flow {
  targetMs: number;
  limitMs: number;
  counts: ReturnType<typeof createArrivalCounts>;
}

/**
 * Forecasts whether a statement of one class can start before its queue deadline. It can if it can
 * start on time, after the earlier ones with the same target and limit, or late, after all that
 * arrived earlier with at least the same limit, in the starts that arrivals at the sustained rate
 * leave. What else may come before it is left out, so that the forecast errs on the side of waiting.
 * Statements are counted by arrival; nothing is sorted.
 *
 * Load pattern: more arrivals than the endpoints can serve, for longer than the time limit.
 * Without the forecast each refused statement has waited for 0.85 of its limit.
 */
const createStartForecast = () => {
  const onTimeArrivals = createSustainedRate();
  const flows = new Map<string, Flow>();
  let total = 0;

  const toFlowKey = ({ arrivedAtMs, targetAtMs, queueDeadlineMs, priority }: WaitingStatement) =>
    `${Math.round(targetAtMs - arrivedAtMs)}/${Math.round(queueDeadlineMs - arrivedAtMs)}/${priority}`;

  return {
    /** Call for each arrival that is not refused. */
    noteArrival: ({ arrivedAtMs, targetAtMs }: WaitingStatement): void => {
      if (targetAtMs - arrivedAtMs > LATE_BEFORE_TARGET_MS) onTimeArrivals.note(arrivedAtMs);
    },
    add: (statement: WaitingStatement): void => {
      const { arrivedAtMs, targetAtMs, queueDeadlineMs } = statement;
      const key = toFlowKey(statement);
      const flow = flows.get(key) ?? {
        targetMs: targetAtMs - arrivedAtMs,
        limitMs: queueDeadlineMs - arrivedAtMs,
        counts: createArrivalCounts(),
      };
      flows.set(key, flow);
      flow.counts.add(arrivedAtMs);
      total += 1;
    },
    remove: (statement: WaitingStatement): void => {
      const key = toFlowKey(statement);
      const flow = flows.get(key);
      if (!flow) return;
      flow.counts.remove(statement.arrivedAtMs);
      if (flow.counts.total() === 0) flows.delete(key);
      total -= 1;
    },
    /** How many statements wait. */
    total: () => total,
    /** One that waits already is forecast as if nothing else arrived: its wait should not be in vain. */
    find: (
      statement: WaitingStatement,
      { startIntervalMs, nowMs, isArriving }: ForecastState,
    ): StartForecast => {
      const { arrivedAtMs, targetAtMs, queueDeadlineMs } = statement;
      const intervalMs = startIntervalMs * OPTIMISM_RATIO;
      const limitMs = queueDeadlineMs - arrivedAtMs;
      // Most statements are far from their deadline, and need no closer look.
      if (nowMs + (total * intervalMs) / MIN_LATE_RATIO < queueDeadlineMs)
        return { canStart: true, startsInMs: total * intervalMs };
      const ownStep = Math.floor(arrivedAtMs / ARRIVAL_STEP_MS);
      // All that an arriving statement finds in its own step has arrived before it.
      const untilStep = isArriving ? ownStep : ownStep - 1;
      const backlog = { untilStep, nowMs, startIntervalMs: intervalMs };
      const own = flows.get(toFlowKey(statement));
      const onTimeUntilMs = targetAtMs - LATE_BEFORE_TARGET_MS;
      const onTimeAtMs = findBacklogEndMs(own ? [own.counts] : [], {
        ...backlog,
        limitMs: onTimeUntilMs - arrivedAtMs,
      });
      if (onTimeAtMs + ARRIVAL_STEP_MS < onTimeUntilMs)
        return { canStart: true, startsInMs: onTimeAtMs - nowMs };
      const ahead = [...flows.values()].filter((flow) => flow.limitMs >= limitMs - 1);
      const lateRatio = isArriving ? 1 - onTimeArrivals.findPerMs(nowMs) * intervalMs : 1;
      const lateAtMs = findBacklogEndMs(
        ahead.map(({ counts }) => counts),
        {
          ...backlog,
          limitMs,
          startIntervalMs: intervalMs / Math.max(MIN_LATE_RATIO, lateRatio),
        },
      );
      return {
        canStart: lateAtMs + ARRIVAL_STEP_MS < queueDeadlineMs,
        startsInMs: lateAtMs - nowMs,
      };
    },
  };
};

export default createStartForecast;

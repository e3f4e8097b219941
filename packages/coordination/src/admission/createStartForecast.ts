import type QueuedStatement from '../placement/queuedStatement';
import ARRIVAL_STEP_MS from './arrivalStepMs';
import createArrivalCounts from './createArrivalCounts';
import createSustainedRate from './createSustainedRate';
import findBacklogEndMs from './findBacklogEndMs';
import type StatementFlow from './statementFlow';

/** Share of the learned interval and rate that is assumed: a forecast that is off refuses too little. */
const OPTIMISM_RATIO = 0.7;
/** Share of the starts that late statements are at least assumed to get, whatever goes on arriving. */
const MIN_LATE_RATIO = 0.1;
/**
 * Of the statements that are on time, some start before all that is late, and late ones that are counted as
 * ahead leave meanwhile. How many do is not known, so the most favourable of these shares is assumed.
 */
const ON_TIME_SHARES = [0, 0.25, 0.5, 0.75, 1];
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
  const flows = new Map<string, StatementFlow>();
  let total = 0;

  const toFlowKey = ({ arrivedAtMs, targetAtMs, queueDeadlineMs, priority }: WaitingStatement) =>
    `${Math.round(targetAtMs - arrivedAtMs)}/${Math.round(queueDeadlineMs - arrivedAtMs)}/${priority}`;

  /** How many of the waiting statements can start on time. */
  const countOnTime = (nowMs: number, intervalMs: number): number => {
    let count = 0;
    let lastUntilMs = nowMs;
    flows.forEach(({ targetMs, counts }) => {
      const onTimeMs = targetMs - LATE_BEFORE_TARGET_MS;
      const lastStep = Math.floor(nowMs / ARRIVAL_STEP_MS);
      for (let step = lastStep; (step + 1) * ARRIVAL_STEP_MS + onTimeMs > nowMs; step -= 1) {
        const arrivals = counts.countIn(step);
        count += arrivals;
        if (arrivals > 0)
          lastUntilMs = Math.max(lastUntilMs, (step + 1) * ARRIVAL_STEP_MS + onTimeMs);
      }
    });
    return Math.min(count, Math.floor((lastUntilMs - nowMs) / intervalMs));
  };

  return {
    /** Call for each arrival that is not refused. */
    noteArrival: ({ arrivedAtMs, targetAtMs }: WaitingStatement): void => {
      if (targetAtMs - arrivedAtMs > LATE_BEFORE_TARGET_MS) onTimeArrivals.note(arrivedAtMs);
    },
    /** Counts a statement; returns the group of equal ones to pass to `remove`. */
    add: (statement: WaitingStatement): StatementFlow => {
      const { arrivedAtMs, targetAtMs, queueDeadlineMs } = statement;
      const key = toFlowKey(statement);
      let flow = flows.get(key);
      if (!flow) {
        flow = {
          key,
          targetMs: targetAtMs - arrivedAtMs,
          limitMs: queueDeadlineMs - arrivedAtMs,
          counts: createArrivalCounts(),
        };
        flows.set(key, flow);
      }
      flow.counts.add(arrivedAtMs);
      total += 1;
      return flow;
    },
    remove: (flow: StatementFlow, arrivedAtMs: number): void => {
      flow.counts.remove(arrivedAtMs);
      if (flow.counts.total() === 0) flows.delete(flow.key);
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
      const backlog = { untilStep, fromMs: nowMs, skippedCount: 0, startIntervalMs: intervalMs };
      const onTimeUntilMs = targetAtMs - LATE_BEFORE_TARGET_MS;
      if (onTimeUntilMs > nowMs) {
        const own = flows.get(toFlowKey(statement));
        const onTimeAtMs = findBacklogEndMs(own ? [own.counts] : [], {
          ...backlog,
          limitMs: onTimeUntilMs - arrivedAtMs,
        });
        if (onTimeAtMs + ARRIVAL_STEP_MS < onTimeUntilMs)
          return { canStart: true, startsInMs: onTimeAtMs - nowMs };
      }
      const ahead = [...flows.values()].filter((flow) => flow.limitMs >= limitMs - 1);
      const lateRatio = isArriving ? 1 - onTimeArrivals.findPerMs(nowMs) * intervalMs : 1;
      const onTimeCount = countOnTime(nowMs, intervalMs) * Math.max(0, lateRatio);
      const aheadCounts = ahead.map(({ counts }) => counts);
      const lateAtMs = Math.min(
        ...ON_TIME_SHARES.map((share) => {
          const skippedCount = Math.floor(onTimeCount * share);
          return findBacklogEndMs(aheadCounts, {
            ...backlog,
            fromMs: nowMs + skippedCount * intervalMs,
            skippedCount,
            limitMs,
            startIntervalMs: intervalMs / Math.max(MIN_LATE_RATIO, lateRatio),
          });
        }),
      );
      return {
        canStart: lateAtMs + ARRIVAL_STEP_MS < queueDeadlineMs,
        startsInMs: lateAtMs - nowMs,
      };
    },
  };
};

export default createStartForecast;

import { comparePositions, type LogPosition } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type FailoverCaller from '../seams/failoverCaller';
import type GroupRecord from './groupRecord';
import type MemberPool from './memberPool';

/** Between two looks at the primary's state. */
const TICK_MS = 100;
/** How long open work at a primary that leaves may go on before it is replaced. */
const SWITCH_DRAIN_MS = 1_000;
/** How long a replica may take to catch up before a planned replacement goes on without it. */
const CATCH_UP_MS = 1_000;
/** A promotion takes effect within some hundred ms of the call. */
const PROMOTION_TIMEOUT_MS = 3_000;
const PROMOTION_POLL_MS = 60;
/** No endpoint calls itself primary: how long one that starts may still do so. */
const NO_PRIMARY_GRACE_MS = 600;

interface PrimaryKeeperOptions {
  group: string;
  holder: string;
  pools: ReadonlyMap<string, MemberPool>;
  failover: FailoverCaller;
  log: EventLog;
  nowMs(): number;
  /** The endpoint that was last made primary, and the fence of that. */
  recorded(): Pick<GroupRecord, 'primary' | 'term' | 'fence'>;
  /** Records the next primary; false when this VM does not own the group any more. */
  record(next: Pick<GroupRecord, 'primary' | 'term' | 'fence'>): Promise<boolean>;
  /** Whether this VM may replace a primary now: no earlier owner can still believe in another. */
  mayReplace(): boolean;
  openWork(endpointId: string): number;
  onPrimary(endpointId: string, position: LogPosition, askedAtMs: number): void;
  onChange(): void;
  controlAccount(): string;
}

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Knows a group's primary, and replaces it when it is lost or leaves. */
const createPrimaryKeeper = (options: PrimaryKeeperOptions) => {
  const { group, pools, log, nowMs } = options;
  let primary: string | undefined;
  let isSwitching = false;
  let isBusy = false;
  let isClosed = false;
  let noPrimarySinceMs: number | undefined;
  let believedTerm = 0;

  const statuses = async (ids: readonly string[]) => {
    const answers = await Promise.all(
      ids.map(async (id) => ({ id, askedAtMs: nowMs(), status: await pools.get(id)?.probe() })),
    );
    return answers.flatMap(({ id, askedAtMs, status }) =>
      status ? [{ id, askedAtMs, status }] : [],
    );
  };

  const believe = (id: string, position: LogPosition, askedAtMs: number): void => {
    primary = id;
    believedTerm = Math.max(believedTerm, position.term);
    noPrimarySinceMs = undefined;
    log.info('primary.believed', { group, endpoint: id, term: position.term });
    options.onPrimary(id, position, askedAtMs);
    options.onChange();
  };

  /** Waits until work at the primary has ended and the best replica has caught up. */
  const settle = async (leaving: string): Promise<void> => {
    const untilMs = nowMs() + SWITCH_DRAIN_MS;
    while (options.openWork(leaving) > 0 && nowMs() < untilMs) await sleep(PROMOTION_POLL_MS / 2);
  };

  const bestReplica = async (except: string | undefined) => {
    const ids = [...pools]
      .filter(([id, pool]) => id !== except && !pool.isDown() && !pool.endpoint().isLeaving)
      .map(([id]) => id);
    const answers = await statuses(ids);
    return answers.sort((a, b) => comparePositions(b.status.received, a.status.received))[0];
  };

  const awaitPromotion = async (id: string): Promise<boolean> => {
    const untilMs = nowMs() + PROMOTION_TIMEOUT_MS;
    while (!isClosed && nowMs() < untilMs) {
      const [answer] = await statuses([id]);
      if (answer?.status.isPrimary) {
        believe(id, answer.status.received, answer.askedAtMs);
        return true;
      }
      await sleep(PROMOTION_POLL_MS);
    }
    return false;
  };

  const demoteOld = async (id: string, term: number): Promise<void> => {
    const pool = pools.get(id);
    if (!pool || pool.isDown()) return;
    try {
      const member = await pool.lend(options.controlAccount(), '');
      const guard = setTimeout(() => pool.drop(member), PROMOTION_POLL_MS * 10);
      await pool.ask(member, { kind: 'demote', term });
      clearTimeout(guard);
      pool.drop(member);
    } catch (error) {
      log.info('primary.demoteFailed', { group, endpoint: id, reason: String(error) });
    }
  };

  const replace = async (old: string | undefined, reason: string): Promise<void> => {
    const isPlanned = reason === 'leaving';
    log.warn('primary.replacing', { group, endpoint: old, reason, planned: isPlanned });
    let candidate = await bestReplica(old);
    if (!candidate) {
      log.warn('primary.noCandidate', { group, endpoint: old, reason });
      return;
    }
    if (isPlanned && old !== undefined) {
      isSwitching = true;
      await settle(old);
      const [last] = await statuses([old]);
      const untilMs = nowMs() + CATCH_UP_MS;
      while (
        last &&
        candidate &&
        comparePositions(candidate.status.received, last.status.received) < 0 &&
        nowMs() < untilMs
      ) {
        await sleep(PROMOTION_POLL_MS / 2);
        candidate = await bestReplica(old);
      }
    }
    if (!candidate) return;
    const fence = options.recorded().fence + 1;
    // It will lead a term above those that were seen. A recorded one may come from a call that was
    // not carried out, so it is a lower bound only.
    const seenTerm = Math.max(believedTerm, candidate.status.term);
    const term = Math.max(seenTerm + 1, options.recorded().term);
    if (isClosed || !(await options.record({ primary: candidate.id, term, fence }))) return;
    if (isClosed) return;
    primary = undefined;
    isSwitching = true;
    if (old !== undefined) pools.get(old)?.dropAll();
    const outcome = await options.failover.promote(group, candidate.id, options.holder, fence);
    log.warn('primary.promoted', { group, endpoint: candidate.id, fence, outcome, reason });
    if (outcome === 'accepted' || outcome === 'mayHaveRun') {
      const isDone = await awaitPromotion(candidate.id);
      if (isDone && old !== undefined) demoteOld(old, candidate.status.term + 1);
    }
  };

  /** Looks for an endpoint that is primary by its own status; the highest term counts. */
  const find = async (): Promise<void> => {
    const leastTerm = options.recorded().term;
    const usable = [...pools].filter(([, pool]) => !pool.isDown());
    const claimants = usable.filter(
      ([id, pool]) => pool.endpoint().claimsPrimary || id === options.recorded().primary,
    );
    const looked = claimants.length > 0 ? claimants : usable;
    const answers = await statuses(looked.map(([id]) => id));
    const [best] = answers
      .filter(({ status }) => status.isPrimary && status.term >= leastTerm)
      .sort((a, b) => b.status.term - a.status.term);
    if (best) {
      believe(best.id, best.status.received, best.askedAtMs);
      return;
    }
    noPrimarySinceMs ??= nowMs();
    const isDue = nowMs() - noPrimarySinceMs > NO_PRIMARY_GRACE_MS;
    if (isDue && pools.size > 1 && options.mayReplace()) await replace(undefined, 'none');
  };

  const step = async (): Promise<void> => {
    const pool = primary === undefined ? undefined : pools.get(primary);
    if (primary !== undefined && !pool) {
      log.warn('primary.gone', { group, endpoint: primary });
      primary = undefined;
    }
    if (pool && primary !== undefined) {
      if (pool.isDown() && options.mayReplace()) await replace(primary, 'lost');
      else if (pool.endpoint().isLeaving && options.mayReplace()) await replace(primary, 'leaving');
    } else {
      await find();
    }
  };

  const tick = (): void => {
    pools.forEach((pool) => {
      pool.check();
      pool.trim();
    });
    if (isBusy || isClosed) return;
    isBusy = true;
    step()
      .catch((error) => log.warn('primary.checkFailed', { group, reason: String(error) }))
      .finally(() => {
        isBusy = false;
        if (isSwitching) {
          isSwitching = false;
          options.onChange();
        }
      });
  };
  const timer = setInterval(tick, TICK_MS);
  tick();

  return {
    /** Looks now: endpoints were found. */
    check: tick,
    /** The primary for new work; undefined while there is none, or while it is being replaced. */
    current: (): string | undefined => (isSwitching ? undefined : primary),
    /** The primary for transactions that are open there. */
    leading: (): string | undefined => primary,
    /** An endpoint said that it is no primary: look anew. */
    doubt: (id: string): void => {
      if (primary !== id) return;
      log.warn('primary.doubted', { group, endpoint: id });
      primary = undefined;
    },
    close: (): void => {
      isClosed = true;
      clearInterval(timer);
    },
  };
};

export default createPrimaryKeeper;
